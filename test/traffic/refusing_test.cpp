#include "proxy_fixture.h"

#include <Poco/Net/SocketAddress.h>

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::test;

namespace {

traffic::server_options short_limits() {
    traffic::server_options options;
    options.head_time = milliseconds{50};
    options.body_idle = milliseconds{50};
    options.idle = milliseconds{50};
    return options;
}

std::string status_of(const std::string& answer) {
    return answer.size() < 12 ? answer : answer.substr(9, 3);
}

} // namespace

TEST_GROUP(refusing){};

// Guards against serving bytes after a malformed request as a request: they may be a part of its
// body (request smuggling).
TEST(refusing, closes_after_a_malformed_request) {
    proxy_fixture it(answer_ok);
    auto caller = it.connect();
    caller.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 40\r\n\r\n" +
                plain_get);
    const auto answers = caller.receive_all();
    STRCMP_EQUAL("400", status_of(answers).c_str());
    STRCMP_CONTAINS("Connection: close\r\n", answers.c_str());
    STRCMP_CONTAINS("Wigeonrill-Outcome: not-run\r\n", answers.c_str());
    CHECK(it.decisions.started_requests.empty());
    CHECK(it.target.requests().empty());
}

// Guards against forwarding requests that a target could interpret differently.
TEST(refusing, checks_the_request_head) {
    proxy_fixture it(answer_ok);
    const std::vector<std::pair<std::string, std::string>> requests{
        {"400", "GET /a/../../b HTTP/1.1\r\nHost: a\r\n\r\n"},
        {"400", "GET http://b/ HTTP/1.1\r\nHost: a\r\n\r\n"},
        {"501", "CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n"},
        {"431", "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n"},
        {"413", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n"},
        {"417", "GET / HTTP/1.1\r\nHost: a\r\nExpect: cake\r\n\r\n"},
        {"400", "GET / HTTP/1.1\r\nHost: a\r\nRequest-Timeout-Ms: -1\r\n\r\n"},
        {"400", "GET / HTTP/1.1\r\nHost: a\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n"}};
    for (const auto& [status, request] : requests) {
        auto caller = it.connect();
        caller.send(request);
        STRCMP_EQUAL_TEXT(status.c_str(), status_of(caller.receive_all()).c_str(), request.c_str());
    }
    CHECK(it.target.requests().empty());
}

// Guards against accepting a body above the limit of the route, which is known only after routing.
TEST(refusing, enforces_the_body_limit_of_the_route) {
    proxy_fixture it(answer_ok);
    it.decisions.default_step.route.max_body_bytes = 4;
    const auto answer =
        it.send_request("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello");
    STRCMP_EQUAL("413", status_of(answer).c_str());
    auto caller = it.connect();
    // Above the size that is held in memory, a target has received a part before the limit is
    // reached.
    it.decisions.default_step.route.max_body_bytes = 600'000;
    caller.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nA0000\r\n" +
                std::string(0xA0000, 'x') + "\r\n0\r\n\r\n");
    const auto streamed = caller.receive_all();
    STRCMP_EQUAL("413", status_of(streamed).c_str());
    STRCMP_CONTAINS("Wigeonrill-Outcome: unknown\r\n", streamed.c_str());
}

// Guards against callers that occupy a thread with an incomplete head.
TEST(refusing, limits_the_time_of_a_head) {
    proxy_fixture it(answer_ok, short_limits());
    auto caller = it.connect();
    caller.send("GET / HTTP/1.1\r\nHost: a\r\n");
    STRCMP_EQUAL("408", status_of(caller.receive_all()).c_str());
}

// Guards against callers that occupy a thread with an incomplete body.
TEST(refusing, limits_the_time_of_a_body) {
    proxy_fixture it(answer_ok, short_limits());
    auto caller = it.connect();
    caller.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhell");
    STRCMP_EQUAL("408", status_of(caller.receive_all()).c_str());
    CHECK(it.target.requests().empty());
}

// Guards against idle connections that occupy a thread forever.
TEST(refusing, closes_idle_connections) {
    proxy_fixture it(answer_ok, short_limits());
    auto caller = it.connect();
    caller.send(plain_get);
    STRCMP_EQUAL("200", status_of(caller.receive_answer()).c_str());
    STRCMP_EQUAL("", caller.receive_all().c_str());
}

// Guards against an unlimited number of threads, and against closing existing connections when a
// further one is refused.
TEST(refusing, limits_connections) {
    traffic::server_options options;
    options.max_connections = 1;
    proxy_fixture it(answer_ok, options);
    auto first = it.connect();
    first.send(plain_get);
    STRCMP_EQUAL("200", status_of(first.receive_answer()).c_str());
    auto second = it.connect();
    second.send(plain_get);
    const auto refused = second.receive_all();
    STRCMP_EQUAL("503", status_of(refused).c_str());
    STRCMP_CONTAINS("Retry-After: 1\r\n", refused.c_str());
    first.send(plain_get);
    STRCMP_EQUAL("200", status_of(first.receive_answer()).c_str());
}

// Guards against sending a request whose deadline passed while the process was paused.
TEST(refusing, does_not_send_when_the_dispatcher_forbids_it) {
    proxy_fixture it(answer_ok);
    it.decisions.sending_allowed = false;
    const auto answer = it.send_request(plain_get);
    STRCMP_EQUAL("503", status_of(answer).c_str());
    STRCMP_CONTAINS("Wigeonrill-Outcome: not-run\r\n", answer.c_str());
    it.decisions.wait_finished(1);
    CHECK(health::answer_kind::cancelled == it.decisions.attempts.at(0).kind);
    CHECK_FALSE(it.decisions.attempts.at(0).request_bytes_sent);
    CHECK(it.target.requests().empty());
}

// Guards against sending a request whose caller allows 0 ms for it.
TEST(refusing, respects_a_timeout_of_zero) {
    proxy_fixture it(answer_ok);
    it.decisions.default_step.deadline = instant{};
    const auto answer =
        it.send_request("GET / HTTP/1.1\r\nHost: a\r\nRequest-Timeout-Ms: 0\r\n\r\n");
    STRCMP_EQUAL("503", status_of(answer).c_str());
    STRCMP_CONTAINS("Wigeonrill-Outcome: not-run\r\n", answer.c_str());
    CHECK(it.target.requests().empty());
}

// Guards against reporting the outcome "unknown" when no connection to the target could be made.
TEST(refusing, says_not_run_when_no_target_was_reached) {
    proxy_fixture it(answer_ok);
    Poco::Net::ServerSocket unused(Poco::Net::SocketAddress("127.0.0.1", 0));
    it.decisions.default_step.address.port = unused.address().port();
    unused.close();
    const auto answer = it.send_request(plain_get);
    STRCMP_EQUAL("503", status_of(answer).c_str());
    STRCMP_CONTAINS("Wigeonrill-Outcome: not-run\r\n", answer.c_str());
    it.decisions.wait_finished(1);
    CHECK(health::answer_kind::connect_failed == it.decisions.attempts.at(0).kind);
}
