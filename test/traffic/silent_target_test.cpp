#include "silent_target.h"

#include "proxy_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::test;
using health::answer_kind;

// Sends one request to a silent target. It is given up after 1.2 s.
TEST_GROUP(silent_target) {
    silent_target target;
    proxy_fixture it{answer_ok};
    std::string received;
    std::thread caller;

    void setup() override {
        it.decisions.default_step.address = target.address();
        it.decisions.default_step.route.limits.first_byte = milliseconds(1'200);
    }
    void send(bool dark) {
        caller = std::thread([this] { received = it.send_request(plain_get); });
        target.receive_request(dark);
    }
    void finish() {
        caller.join();
        it.decisions.wait_finished(1);
    }
};

// Guards against taking a machine that lost its power under a request for a link that was reset,
// because the next process accepts connections.
TEST(silent_target, lost_connection_after_silence_is_reported_with_its_span) {
    it.decisions.retry_elsewhere_allowed = false;
    send(true);
    std::this_thread::sleep_for(milliseconds(1'500));
    target.accept_again();
    target.reset();
    finish();
    const auto& attempt = it.decisions.attempts.at(0);
    CHECK(answer_kind::connection_lost == attempt.kind);
    CHECK_TRUE(attempt.silent.has_value());
    CHECK(attempt.silent->until - attempt.silent->from >= milliseconds(400));
}

// Guards against a request that crashes target after target, because it is sent to the next one
// before the machine that lost its power is back.
TEST(silent_target, end_of_a_given_up_connection_is_reported) {
    send(true);
    finish();
    CHECK(answer_kind::silent == it.decisions.attempts.at(0).kind);
    CHECK_FALSE(it.decisions.wait_abandoned_lost(milliseconds(300)).has_value());
    target.accept_again();
    target.reset();
    CHECK_TRUE(it.decisions.wait_abandoned_lost(seconds(5)) ==
               it.decisions.started_requests.at(0).id);
}

// Guards against counting a target as crashed that is only slow: it accepts connections, and ends
// the connection of a request that was given up.
TEST(silent_target, slow_target_that_ends_the_connection_has_not_crashed) {
    send(false);
    finish();
    CHECK(answer_kind::silent == it.decisions.attempts.at(0).kind);
    CHECK_FALSE(it.decisions.attempts.at(0).silent.has_value());
    target.reset();
    CHECK_FALSE(it.decisions.wait_abandoned_lost(milliseconds(500)).has_value());
}

// Guards against counting a target as crashed whose link was interrupted: it still has the request
// and answers.
TEST(silent_target, late_answer_on_a_given_up_connection_is_no_crash) {
    send(true);
    finish();
    target.accept_again();
    target.answer();
    target.reset();
    CHECK_FALSE(it.decisions.wait_abandoned_lost(milliseconds(500)).has_value());
}
