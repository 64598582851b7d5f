#include "proxy_fixture.h"

#include <barrier>

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::test;
using health::answer_kind;

namespace {

const std::string ok = "HTTP/1.1 200 OK\r\n";

/// Returns a script that answers the first request with the given bytes and the others with "ok".
scripted_target::script break_first_answer(std::string bytes, bool close) {
    return [bytes = std::move(bytes), close](const std::string& request, int number) {
        return number == 1 ? scripted_answer{bytes, close, false} : answer_ok(request, number);
    };
}

struct broken_answer_case {
    const char* label;
    std::string bytes;
    answer_kind kind;
};

/// Broken answers small enough to be buffered, so that a refusal can replace them.
std::vector<broken_answer_case> broken_buffered_answers() {
    const auto malformed = answer_kind::malformed;
    return {{"7 of 1000 bytes", ok + "Content-Length: 1000\r\n\r\n7 bytes", malformed},
            {"surplus", ok + "Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n", malformed},
            {"surplus behind 204", "HTTP/1.1 204 No\r\n\r\nbody", malformed},
            {"two lengths", ok + "Content-Length: 2\r\nContent-Length: 5\r\n\r\nhello", malformed},
            {"half a head", "HTTP/1.1 200 OK\r\nContent-Le", malformed},
            {"not HTTP", "220 mail.example ready\r\n\r\n", malformed},
            {"upgrade", "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n", malformed},
            {"nothing", "", answer_kind::connection_lost}};
}

} // namespace

TEST_GROUP(broken_answer){};

// Guards against passing a broken answer to the caller as complete, and against reusing the
// connection on which it arrived.
TEST(broken_answer, is_refused_before_any_byte_was_sent) {
    for (const auto& [label, bytes, kind] : broken_buffered_answers()) {
        proxy_fixture it(break_first_answer(bytes, true));
        it.decisions.default_step = it.send_step(config::repeat_policy::at_most_once);
        auto caller = it.connect();
        caller.send(plain_get);
        const auto refused = caller.receive_answer();
        STRCMP_CONTAINS_TEXT("HTTP/1.1 502 ", refused.c_str(), label);
        STRCMP_CONTAINS_TEXT("Wigeonrill-Outcome: unknown\r\n", refused.c_str(), label);
        caller.send(plain_get);
        STRCMP_CONTAINS_TEXT("\r\n\r\nok", caller.receive_answer().c_str(), label);
        it.decisions.wait_finished(2);
        CHECK_TEXT(kind == it.decisions.attempts.at(0).kind, label);
        LONGS_EQUAL_TEXT(2, it.target.connections(), label);
    }
}

// Guards against reusing a connection that has bytes after the answer and that the target keeps
// open.
TEST(broken_answer, leaves_no_surplus_for_the_next_request) {
    proxy_fixture it(break_first_answer(
        ok + "Content-Length: 2\r\n\r\nok" + ok + "Content-Length: 5\r\n\r\nother", false));
    STRCMP_CONTAINS("HTTP/1.1 502 ", it.send_request(plain_get).c_str());
    STRCMP_CONTAINS("\r\n\r\nok", it.send_request(plain_get).c_str());
    LONGS_EQUAL(2, it.target.connections());
}

// Guards against a truncated large answer that the caller takes for complete.
TEST(broken_answer, resets_the_caller_after_a_partial_answer) {
    const std::string part(1'100'000, 'x'); // more than is buffered of a repeatable answer
    const std::vector<std::string> answers{
        ok + "Content-Length: 2200000\r\n\r\n" + part,
        ok + "Transfer-Encoding: chunked\r\n\r\n10c8e0\r\n" + part + "\r\n",
        ok + "Transfer-Encoding: chunked\r\n\r\n10c8e0\r\n" + part + "\r\nxyz\r\n",
        ok + "Content-Length: 1100000\r\n\r\n" + part + "surplus"};
    for (const auto& bytes : answers) {
        for (const char* version : {"1.0", "1.1"}) {
            proxy_fixture it(break_first_answer(bytes, true));
            auto caller = it.connect();
            caller.send("GET / HTTP/" + std::string(version) + "\r\nHost: a\r\n\r\n");
            std::string received;
            CHECK(caller.ends_by_reset(received));
            it.decisions.wait_finished(1);
            CHECK_FALSE(it.decisions.answers_completed.at(0));
            LONGS_EQUAL(2, it.decisions.attempts.size());
            CHECK(it.decisions.attempts.at(1).answer_partly_sent);
            CHECK(answer_kind::malformed == it.decisions.attempts.at(1).kind);
        }
    }
}

// Guards against refusing an idempotent request although another attempt can answer it.
TEST(broken_answer, can_be_replaced_by_another_attempt) {
    proxy_fixture it(break_first_answer(ok + "Content-Length: 1000\r\n\r\n7 bytes", true));
    it.decisions.add_step(it.send_step());
    it.decisions.add_step(it.send_step());
    STRCMP_CONTAINS("\r\n\r\nok", it.send_request(plain_get).c_str());
    LONGS_EQUAL(2, it.target.requests().size());
}

// Guards against waiting forever for a target, and against using its other idle connections.
TEST(broken_answer, gives_up_on_a_silent_target) {
    std::barrier both(2);
    proxy_fixture it([&](const std::string& request, int number) {
        if (number <= 2) {
            both.arrive_and_wait(); // makes the proxy open two connections
        }
        return number == 3 ? scripted_answer{"", false, true} : answer_ok(request, number);
    });
    auto first = it.connect();
    auto second = it.connect();
    first.send(plain_get);
    second.send(plain_get);
    STRCMP_CONTAINS("\r\n\r\nok", first.receive_answer().c_str());
    STRCMP_CONTAINS("\r\n\r\nok", second.receive_answer().c_str());
    it.decisions.wait_finished(2);
    it.decisions.default_step.route.limits.first_byte = milliseconds{50};
    const auto refused = it.send_request(plain_get);
    STRCMP_CONTAINS("HTTP/1.1 504 ", refused.c_str());
    STRCMP_CONTAINS("Wigeonrill-Outcome: unknown\r\n", refused.c_str());
    it.decisions.wait_finished(3);
    CHECK(answer_kind::silent == it.decisions.attempts.at(2).kind);
    it.target.wait_closed(2);
}

// Guards against an answer that stalls and blocks its caller forever.
TEST(broken_answer, gives_up_on_a_stalled_answer) {
    for (const std::size_t size : {std::size_t{1'000}, std::size_t{2'000'000}}) {
        proxy_fixture it(break_first_answer(
            ok + "Content-Length: " + std::to_string(size) + "\r\n\r\n7 bytes", false));
        it.decisions.default_step.route.limits.body_idle = milliseconds{50};
        auto caller = it.connect();
        caller.send(plain_get);
        const bool buffered = size < 1'048'576;
        std::string received;
        if (buffered) {
            STRCMP_CONTAINS("HTTP/1.1 504 ", caller.receive_answer().c_str());
        } else {
            CHECK(caller.ends_by_reset(received));
        }
        it.decisions.wait_finished(1);
        CHECK(answer_kind::silent == it.decisions.attempts.back().kind);
        CHECK_EQUAL(buffered, it.decisions.answers_completed.at(0));
    }
}

// Guards against reporting a target as silent when the caller's deadline passed.
TEST(broken_answer, distinguishes_the_deadline_from_silence) {
    proxy_fixture it([](const std::string& /*request*/, int /*number*/) {
        return scripted_answer{"", false, true};
    });
    it.decisions.default_step.deadline = instant{};
    const auto refused =
        it.send_request("GET / HTTP/1.1\r\nHost: a\r\nRequest-Timeout-Ms: 60\r\n\r\n");
    STRCMP_CONTAINS("HTTP/1.1 504 ", refused.c_str());
    STRCMP_CONTAINS("/problems/deadline", refused.c_str());
    it.decisions.wait_finished(1);
    CHECK(answer_kind::cancelled == it.decisions.attempts.at(0).kind);
}
