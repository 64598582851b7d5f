#include "proxy_fixture.h"

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

/// Receives an answer and skips the interim answers before it.
std::string receive_final_answer(raw_caller& caller) {
    auto answer = caller.receive_answer();
    while (answer.starts_with("HTTP/1.1 1")) {
        answer = caller.receive_answer();
    }
    return answer;
}

} // namespace

TEST_GROUP(endless_answer){static traffic::server_options options(){traffic::server_options it;
it.names.request_id = "X-Request";
return it;
}
}
;

// Guards against a caller that waits for its deadline, and a target connection that stays open,
// while the target sends bytes that never become an answer.
TEST(endless_answer, is_given_up) {
    for (const auto& one : endless_answers()) {
        const char* label = one.label;
        proxy_fixture it(
            [&one](const std::string& /*request*/, int /*number*/) {
                return scripted_answer{one.first, false, false, one.repeated, one.interval};
            },
            options());
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
