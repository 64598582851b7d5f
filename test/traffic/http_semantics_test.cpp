#include "proxy_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::test;

namespace {

scripted_target::script answer_with(std::string bytes) {
    return [bytes = std::move(bytes)](const std::string& /*request*/, int /*number*/) {
        return scripted_answer{bytes, false, false};
    };
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(http_semantics){};

// Guards against making the caller wait for a body, which HEAD, 204 and 304 answers don't have.
TEST(http_semantics, passes_answers_without_body) {
    const std::vector<std::pair<std::string, std::string>> cases{
        {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n"},
        {"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5000\r\n\r\n"},
        {"GET", "HTTP/1.1 204 No Content\r\n\r\n"}};
    for (const auto& [method, bytes] : cases) {
        proxy_fixture it(answer_with(bytes));
        auto caller = it.connect();
        for (int i = 0; i < 2; ++i) {
            caller.send(method + " / HTTP/1.1\r\nHost: a\r\n\r\n");
            const auto head = caller.receive_answer(false);
            STRCMP_CONTAINS(bytes.substr(0, 12).c_str(), head.c_str());
            CHECK_EQUAL(contains(bytes, "5000"), contains(head, "Content-Length: 5000\r\n"));
        }
        LONGS_EQUAL(1, it.target.connections());
    }
}

// Guards against a body in the refusal of a HEAD request, which the caller would read as the next
// answer.
TEST(http_semantics, refuses_head_without_body) {
    proxy_fixture it(answer_ok);
    traffic::step refusing;
    refusing.reason.status = 404;
    it.decisions.add_step(refusing);
    auto caller = it.connect();
    caller.send("HEAD / HTTP/1.1\r\nHost: a\r\n\r\n" + plain_get);
    STRCMP_CONTAINS("HTTP/1.1 404 ", caller.receive_answer(false).c_str());
    STRNCMP_EQUAL("HTTP/1.1 200 ", caller.receive_answer().c_str(), 13);
}

// Guards against taking interim answers for the final one, and against losing them.
TEST(http_semantics, passes_interim_answers) {
    proxy_fixture it(answer_with("HTTP/1.1 100 Continue\r\n\r\n"
                                 "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" +
                                 make_answer(200, "", "ok")));
    auto caller = it.connect();
    caller.send(plain_get);
    const auto interim = caller.receive_answer();
    STRCMP_CONTAINS("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n", interim.c_str());
    STRCMP_CONTAINS("HTTP/1.1 200 ", caller.receive_answer().c_str());
    STRCMP_CONTAINS("\r\n\r\nok", it.send_request("GET / HTTP/1.0\r\n\r\n").c_str());
}

// Guards against not sending the 100 answer for which a caller waits before it sends the body.
TEST(http_semantics, answers_expect_continue) {
    proxy_fixture it(answer_ok);
    for (const std::size_t size : {std::size_t{5}, std::size_t{100'000}}) {
        auto caller = it.connect();
        caller.send("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: " +
                    std::to_string(size) + "\r\n\r\n");
        STRCMP_EQUAL("HTTP/1.1 100 Continue\r\n\r\n", caller.receive_answer(false).c_str());
        caller.send(std::string(size, 'x'));
        STRCMP_CONTAINS("HTTP/1.1 200 ", caller.receive_answer().c_str());
        const auto request = it.target.requests().back();
        CHECK(contains(request, "\r\n\r\n" + std::string(size, 'x')));
        CHECK_FALSE(contains(request, "Expect"));
    }
}

// Guards against requesting a large body for a request that is then refused.
TEST(http_semantics, decides_before_sending_continue_for_a_large_body) {
    proxy_fixture it(answer_ok);
    it.decisions.add_step(traffic::step{});
    auto caller = it.connect();
    caller.send("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
                "Content-Length: 100000\r\n\r\n");
    STRNCMP_EQUAL("HTTP/1.1 503 ", caller.receive_answer().c_str(), 13);
}

// Guards against answering pipelined requests in a different order.
TEST(http_semantics, answers_pipelined_requests_in_order) {
    proxy_fixture it([](const std::string& request, int /*number*/) {
        return scripted_answer{make_answer(200, "", request.substr(0, 6)), false, false};
    });
    auto caller = it.connect();
    caller.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
                "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
                "GET /3 HTTP/1.1\r\nHost: a\r\n\r\n");
    for (const char* expected : {"GET /1", "GET /2", "POST /", "GET /3"}) {
        STRCMP_CONTAINS(("\r\n\r\n" + std::string(expected)).c_str(),
                        caller.receive_answer().c_str());
    }
}

// Guards against forwarding hop-by-hop headers in either direction.
TEST(http_semantics, removes_hop_by_hop_headers) {
    proxy_fixture it(
        answer_with(make_answer(200,
                                "Connection: X-Mine\r\nX-Mine: 1\r\nKeep-Alive: 5\r\n"
                                "Trailer: T\r\nX-End: 1\r\nWigeonrill-Outcome: not-run\r\n",
                                "ok")));
    const auto answer = it.send_request(
        "GET / HTTP/1.1\r\nHost: a\r\nConnection: keep-alive, X-Hop, Idempotency-Key\r\n"
        "X-Hop: 1\r\nTE: trailers\r\nUpgrade: websocket\r\nProxy-Authorization: x\r\n"
        "X-End: 1\r\nIdempotency-Key: k\r\nVia: 1.0 other\r\n\r\n");
    const auto request = it.target.requests().at(0);
    for (const char* gone : {"Connection", "X-Hop", "TE:", "Upgrade", "Proxy-Authorization"}) {
        CHECK_FALSE_TEXT(contains(request, gone), gone);
    }
    CHECK(contains(request, "X-End: 1\r\n"));
    CHECK(contains(request, "Idempotency-Key: k\r\n"));
    CHECK(contains(request, "Via: 1.0 other\r\n"));
    CHECK(contains(request, "Via: 1.1 wigeonrill\r\n"));
    for (const char* gone : {"Connection", "X-Mine", "Keep-Alive", "Trailer", "Outcome"}) {
        CHECK_FALSE_TEXT(contains(answer, gone), gone);
    }
    CHECK(contains(answer, "X-End: 1\r\n"));
}

// Guards against adding trailers to the body, and against sending chunks to an HTTP/1.0 caller.
TEST(http_semantics, passes_chunked_bodies) {
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n"
                                "3\r\nabc\r\n2\r\nde\r\n0\r\nX-Sum: 1\r\n\r\n";
    proxy_fixture it(answer_with("HTTP/1.1 200 OK\r\n" + chunked));
    auto caller = it.connect();
    caller.send("POST / HTTP/1.1\r\nHost: a\r\n" + chunked + "GET / HTTP/1.0\r\n\r\n");
    CHECK(contains(caller.receive_answer(), "abcde"));
    CHECK(contains(it.target.requests().at(0), "Content-Length: 5\r\n"));
    CHECK(contains(it.target.requests().at(0), "\r\n\r\nabcde"));
    const auto old_answer = caller.receive_all();
    CHECK(contains(old_answer, "abcde"));
    CHECK_FALSE(contains(old_answer, "chunked"));
}

// Guards against leaving the caller waiting after an answer whose body ends with the connection.
TEST(http_semantics, passes_answers_that_end_with_the_connection) {
    proxy_fixture it([](const std::string& /*request*/, int /*number*/) {
        return scripted_answer{"HTTP/1.1 200 OK\r\n\r\nuntil the end", true, false};
    });
    auto caller = it.connect();
    caller.send(plain_get);
    const auto answer = caller.receive_answer();
    CHECK(contains(answer, "Transfer-Encoding: chunked\r\n"));
    CHECK(contains(answer, "until the end"));
    CHECK(contains(it.send_request("GET / HTTP/1.0\r\n\r\n"), "200 OK"));
}

// Guards against ignoring the load, draining and shed reports of a target.
TEST(http_semantics, reports_load_draining_and_sheds) {
    proxy_fixture it([](const std::string& request, int number) {
        return number == 1 ? scripted_answer{make_answer(503,
                                                         "Retry-After: 1\r\nTarget-Load: 7\r\n"
                                                         "Target-Draining: 1\r\n",
                                                         ""),
                                             false, false}
                           : answer_ok(request, number);
    });
    it.decisions.add_step(it.send_step(config::repeat_policy::at_most_once));
    it.decisions.add_step(it.send_step(config::repeat_policy::at_most_once));
    CHECK(contains(it.send_request(plain_get), "\r\n\r\nok"));
    it.decisions.wait_finished(1);
    const auto& shed = it.decisions.attempts.at(0);
    CHECK(health::answer_kind::shed == shed.kind);
    CHECK(shed.draining);
    LONGS_EQUAL(7, shed.reported_load);
    LONGS_EQUAL(-1, it.decisions.attempts.at(1).reported_load);
}
