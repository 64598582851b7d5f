#include "proxy_fixture.h"

#include <array>
#include <fstream>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::test;
using health::answer_kind;

namespace {

// The stated target: a caller whose target sends bytes that are no answer is not kept waiting until
// its deadline of 30 s. A head must be complete 2 s after its first byte; 1 s is for this machine.
constexpr seconds answer_time{3};

struct endless_case {
    const char* label;
    std::string first;    ///< sent at once
    std::string repeated; ///< then sent until the proxy closes the connection
    milliseconds interval;
};

std::vector<endless_case> endless_answers() {
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    return {{"interim answers at once", "", interim, milliseconds{0}},
            {"slow interim answers", "", interim, milliseconds{50}},
            {"early hints", "", "HTTP/1.1 103 Early Hints\r\n\r\n", milliseconds{50}},
            {"a header, byte by byte", ok + "X-A: ", "a", milliseconds{50}},
            {"header lines", ok, "X-A: a\r\n", milliseconds{50}},
            {"a status line, byte by byte", "HTTP/1.1 200 ", "a", milliseconds{50}},
            {"late answer to another request",
             ok + "X-Request: other\r\nContent-Length: 100000000\r\n\r\n", "a", milliseconds{50}}};
}

/// Bodies that never get to a byte of content, or to their end.
std::vector<endless_case> endless_bodies() {
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string last_chunk = chunked + "2\r\nok\r\n0\r\n";
    return {{"a chunk size", chunked, "1", milliseconds{1}},
            {"a chunk extension", chunked + "2;a=", "a", milliseconds{1}},
            {"trailer lines", last_chunk, "X-A: a\r\n", milliseconds{1}},
            {"a trailer line", last_chunk + "X-A: ", "a", milliseconds{1}},
            {"noise where a chunk is due", chunked + "2\r\nok\r\n", "~\x01~", milliseconds{1}}};
}

scripted_answer answer_of(const endless_case& one) {
    return {one.first, false, false, one.repeated, one.interval};
}

traffic::server_options options_with_request_id() {
    traffic::server_options it;
    it.names.request_id = "X-Request";
    return it;
}

/// Receives an answer and skips the interim answers before it.
std::string receive_final_answer(raw_caller& caller) {
    auto answer = caller.receive_answer();
    while (answer.starts_with("HTTP/1.1 1")) {
        answer = caller.receive_answer();
    }
    return answer;
}

/// Memory that this process holds, in bytes.
std::int64_t resident_bytes() {
    std::ifstream in("/proc/self/statm");
    std::int64_t total = 0;
    std::int64_t resident = 0;
    in >> total >> resident;
    return resident * sysconf(_SC_PAGESIZE);
}

// The stated target: half of the memory of the smallest machine, which has 160 MB.
constexpr std::int64_t max_growth_bytes = 80'000'000;
constexpr int many_callers = 150;

/// Sends a request from many callers that read nothing.
std::vector<raw_caller> send_from_many(proxy_fixture& it) {
    std::vector<raw_caller> callers;
    callers.reserve(many_callers);
    for (int i = 0; i < many_callers; ++i) {
        callers.push_back(it.connect());
        callers.back().send(plain_get);
    }
    return callers;
}

/// Returns the largest growth of this process's memory within a time.
std::int64_t growth_within(milliseconds time, std::int64_t before) {
    std::int64_t most = 0;
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
        most = std::max(most, resident_bytes() - before);
        std::this_thread::sleep_for(milliseconds{20});
    }
    return most;
}

} // namespace

TEST_GROUP(endless_answer){};

// Guards against a node that keeps the answers of many faulty targets, which never end, until it is
// out of memory, and all requests on it end with it. The length that they state is one that is read
// into memory.
TEST(endless_answer, many_bodies_that_never_end_take_bounded_memory) {
    const std::string stated = "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n";
    proxy_fixture it([&](const std::string& /*request*/, int /*number*/) {
        return scripted_answer{stated, false, false, std::string(10'000, 'x'), milliseconds{30}};
    });
    const auto before = resident_bytes();
    const auto callers = send_from_many(it);
    CHECK(growth_within(seconds{3}, before) < max_growth_bytes);
}

// Guards against the same where the answers have no length and their callers read nothing.
TEST(endless_answer, many_bodies_for_callers_that_read_nothing_take_bounded_memory) {
    const std::string piece(100'000, 'x');
    proxy_fixture it([&](const std::string& /*request*/, int /*number*/) {
        return scripted_answer{"HTTP/1.1 200 OK\r\n\r\n", false, false, piece, milliseconds{1}};
    });
    const auto before = resident_bytes();
    const auto callers = send_from_many(it);
    CHECK(growth_within(seconds{3}, before) < max_growth_bytes);
}

// Guards against the same in heads.
TEST(endless_answer, many_heads_that_never_end_take_bounded_memory) {
    proxy_fixture it([&](const std::string& /*request*/, int /*number*/) {
        return scripted_answer{"HTTP/1.1 200 OK\r\nX-A: ", false, false, std::string(1'000, 'x'),
                               milliseconds{20}};
    });
    const auto before = resident_bytes();
    const auto callers = send_from_many(it);
    CHECK(growth_within(seconds{3}, before) < max_growth_bytes);
}

// Guards against an answer that is not passed on because the memory for large answers is in use.
TEST(endless_answer, body_is_passed_on_while_others_use_the_memory) {
    traffic::server_options options;
    options.body_memory_bytes = 1'048'576;
    proxy_fixture it(
        [](const std::string& /*request*/, int number) {
            const std::string body(200'000, 'x');
            const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: ";
            return number == 1 ? scripted_answer{head + "1048576\r\n\r\n" + body, false, false, "",
                                                 milliseconds{100}}
                               : scripted_answer{head + "200000\r\n\r\n" + body};
        },
        options);
    auto first = it.connect();
    first.send(plain_get);
    const auto limit = it.clock.now() + answer_time;
    while (it.target.requests().empty() && it.clock.now() < limit) {
        std::this_thread::sleep_for(milliseconds{20});
    }
    std::this_thread::sleep_for(milliseconds{200});
    auto second = it.connect();
    second.send(plain_get);
    CHECK(second.receive_answer().size() > 200'000);
}

// Guards against a caller that waits for its deadline, and a target connection that stays open,
// while the target sends bytes that never become an answer.
TEST(endless_answer, is_given_up) {
    for (const auto& one : endless_answers()) {
        const char* label = one.label;
        proxy_fixture it(
            [&one](const std::string& /*request*/, int /*number*/) { return answer_of(one); },
            options_with_request_id());
        const auto started = it.clock.now();
        auto caller = it.connect();
        caller.send("GET /a HTTP/1.1\r\nHost: shop\r\nX-Request: r1\r\n\r\n");
        const auto refused = receive_final_answer(caller);
        CHECK_TEXT(it.clock.now() - started < answer_time, label);
        STRCMP_CONTAINS_TEXT("HTTP/1.1 502 ", refused.c_str(), label);
        it.decisions.wait_finished(1);
        CHECK_TEXT(answer_kind::malformed == it.decisions.attempts.at(0).kind, label);
        it.target.wait_closed(1);
    }
}

// Guards against a caller that takes a part of an endless body for the whole, or waits for the rest
// of it without end, and against a target that is not let go.
TEST(endless_answer, body_is_cut) {
    for (const auto& one : endless_bodies()) {
        proxy_fixture it(
            [&one](const std::string& /*request*/, int /*number*/) { return answer_of(one); });
        it.decisions.default_step.route.limits.body_idle = seconds{1};
        const auto started = it.clock.now();
        auto caller = it.connect();
        caller.send(plain_get);
        std::string received;
        CHECK_TEXT(caller.ends_by_reset(received), one.label);
        CHECK_TEXT(it.clock.now() - started < answer_time, one.label);
        CHECK_FALSE_TEXT(received.ends_with("0\r\n\r\n"), one.label);
        it.decisions.wait_finished(1);
        CHECK_FALSE_TEXT(it.decisions.answers_completed.at(0), one.label);
        it.target.wait_closed(1);
    }
}

// Guards against a target that is not let go when the caller of a body without end leaves.
TEST(endless_answer, body_ends_with_its_caller) {
    proxy_fixture it([](const std::string& /*request*/, int /*number*/) {
        return scripted_answer{"HTTP/1.1 200 OK\r\n\r\n", false, false, std::string(10'000, 'x'),
                               milliseconds{1}};
    });
    auto caller = it.connect();
    caller.send(plain_get);
    std::array<char, 100'000> piece{};
    std::size_t received = 0;
    while (received < 1'000'000) {
        received += static_cast<std::size_t>(
            caller.socket().receiveBytes(piece.data(), static_cast<int>(piece.size())));
    }
    const auto left = it.clock.now();
    caller.close();
    it.target.wait_closed(1);
    CHECK(it.clock.now() - left < answer_time);
}

// Guards against a connection that stays open for a target that sends on after a whole answer, when
// no further request uses the pool.
TEST(endless_answer, surplus_after_a_whole_answer_closes_the_connection) {
    proxy_fixture it([](const std::string& request, int number) {
        return scripted_answer{answer_ok(request, number).bytes, false, false, "surplus",
                               milliseconds{100}};
    });
    STRCMP_CONTAINS("\r\n\r\nok", it.send_request(plain_get).c_str());
    const auto limit = it.clock.now() + answer_time;
    while (it.target.closed_connections() == 0 && it.clock.now() < limit) {
        it.proxy.close_unusable_connections();
        std::this_thread::sleep_for(milliseconds{20});
    }
    LONGS_EQUAL(1, it.target.closed_connections());
}
