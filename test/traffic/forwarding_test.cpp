#include "proxy_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::test;

namespace {

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(forwarding){};

// Guards against a request or an answer that is lost or changed on the way.
TEST(forwarding, passes_request_and_answer) {
    proxy_fixture it(answer_ok);
    const auto answer =
        it.send_request("POST /a/b?c=d HTTP/1.1\r\nHost: Shop:80\r\nContent-Length: 5\r\n"
                        "X-Word: =?utf-8?q?a=0D=0AX-Evil:1?=\r\n\r\nhello");
    STRCMP_CONTAINS("HTTP/1.1 200 Status\r\n", answer.c_str());
    CHECK(contains(answer, "Via: 1.1 wigeonrill\r\n"));
    CHECK(contains(answer, "\r\n\r\nok"));
    const auto request = it.target.requests().at(0);
    CHECK(contains(request, "POST /a/b?c=d HTTP/1.1\r\n"));
    CHECK(contains(request, "Host: Shop:80\r\n"));
    CHECK(contains(request, "\r\n\r\nhello"));
    CHECK(contains(request, "=?utf-8?q?a=0D=0AX-Evil:1?=\r\n"));
    it.decisions.wait_finished(1);
    STRCMP_EQUAL("shop", it.decisions.started_requests.at(0).host.c_str());
    UNSIGNED_LONGLONGS_EQUAL(stable_hash("hello"), it.decisions.started_requests.at(0).body_digest);
    CHECK(it.decisions.answers_completed.at(0));
}

// Guards against a refusal without problem details, outcome or Retry-After.
TEST(forwarding, refuses_with_problem_details) {
    proxy_fixture it(answer_ok);
    traffic::step refusing;
    refusing.reason = {
        503,       "queue-full", "The queue is full", "Try \"later\".", traffic::outcome::not_run,
        seconds{2}};
    it.decisions.add_step(refusing);
    const auto answer = it.send_request(plain_get);
    CHECK(contains(answer, "HTTP/1.1 503 Service Unavailable\r\n"));
    CHECK(contains(answer, "Content-Type: application/problem+json\r\n"));
    CHECK(contains(answer, "Wigeonrill-Outcome: not-run\r\n"));
    CHECK(contains(answer, "Retry-After: 2\r\n"));
    CHECK(contains(answer, R"("detail":"Try \"later\".")"));
    CHECK(it.target.requests().empty());
}
