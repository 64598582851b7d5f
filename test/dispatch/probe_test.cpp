#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::test;

TEST_GROUP(probe) {
    dispatcher_fixture it{make_snapshot(3, 6)};

    void setup() override {
        it.dispatcher->set_view(make_view(it.snapshot, {"t0"}));
        it.dispatcher->request_probe(service_name("print"), target_id("t0"), seconds(4));
    }
    bool goes_to_ejected(const traffic::request_info& info) const {
        const auto step = it.dispatcher->first_step(info);
        return step.kind == traffic::step_kind::send && step.target.value == "t0";
    }
    // Sends a request and ends it, so that its target is free for the next one.
    bool is_probe(const traffic::request_info& info) const {
        const bool found = goes_to_ejected(info);
        CHECK(it.dispatcher->may_send(info));
        static_cast<void>(
            it.dispatcher->on_attempt_ended(info, it.attempt(health::answer_kind::ok)));
        it.dispatcher->finish_request(info, true, nullptr);
        return found;
    }
};

// Guards against an ejected target that never gets a request and so can't show that it has
// recovered, and against more than one request per probe.
TEST(probe, sends_one_repeatable_request) {
    CHECK(is_probe(it.request("GET", "/proofs")));
    for (int i = 0; i < 20; ++i) {
        CHECK_FALSE(is_probe(it.request("GET", "/proofs")));
    }
}

// Guards against probing with a request that can't be sent again when the target still fails.
TEST(probe, never_sends_a_request_that_cannot_be_repeated) {
    CHECK_FALSE(is_probe(it.request("POST", "/runs/1", "order-1")));
    auto streamed = it.request("GET", "/proofs");
    streamed.body_replayable = false;
    CHECK_FALSE(is_probe(streamed));
}

// Guards against probes that accumulate while a service has no requests.
TEST(probe, is_dropped_after_its_time) {
    it.clock.advance(seconds(5));
    CHECK_FALSE(is_probe(it.request("GET", "/proofs")));
}

// Guards against failing a caller's request because it was used as a probe.
TEST(probe, failed_probe_is_sent_to_another_target) {
    const auto info = it.request("GET", "/proofs");
    CHECK(goes_to_ejected(info));
    CHECK(it.dispatcher->may_send(info));
    const auto next =
        it.dispatcher->on_attempt_ended(info, it.attempt(health::answer_kind::silent));
    CHECK(next.has_value());
    CHECK(next->kind == traffic::step_kind::send);
    CHECK(next->target.value != "t0");
}

// Guards against a probe of a target that has left since the probe was requested. In such a run, a
// target got a request 2.4 s after its leaving had been put in force.
TEST(probe, is_dropped_when_its_target_has_left) {
    auto without_t0 = std::make_shared<config::snapshot>(*it.snapshot);
    without_t0->version = 2;
    auto& targets = without_t0->services.front().targets;
    targets.erase(targets.begin());
    it.dispatcher->set_view(make_view(without_t0));
    for (int i = 0; i < 5; ++i) {
        CHECK_FALSE(is_probe(it.request("GET", "/proofs")));
    }
}
