#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::test;

TEST_GROUP(probe) {
    dispatcher_fixture it{make_snapshot(3, 6)};

    void setup() override {
        it.dispatcher->set_view(make_view(it.snapshot, {"t0"}));
        it.dispatcher->want_probe(service_name("print"), target_id("t0"), seconds(4));
    }
    bool goes_to_ejected(const traffic::request_info& info) const {
        const auto step = it.dispatcher->first(info);
        return step.kind == traffic::step_kind::send && step.target.value == "t0";
    }
    // Ends the request, so that its place is free for the next one.
    bool is_probe(const traffic::request_info& info) const {
        const bool found = goes_to_ejected(info);
        CHECK(it.dispatcher->may_send(info));
        static_cast<void>(it.dispatcher->ended(info, it.attempt(health::answer_kind::ok)));
        it.dispatcher->finished(info, true, nullptr);
        return found;
    }
};

// Guards against an ejected target that gets no request and so can never show that it recovered,
// and against more than one request per wish.
TEST(probe, takes_one_repeatable_request) {
    CHECK(is_probe(it.request("GET", "/proofs")));
    for (int i = 0; i < 20; ++i) {
        CHECK_FALSE(is_probe(it.request("GET", "/proofs")));
    }
}

// Guards against an order that is risked on a target that is believed to be sick.
TEST(probe, never_takes_work_that_runs_at_most_once) {
    CHECK_FALSE(is_probe(it.request("POST", "/runs/1", "order-1")));
    auto streamed = it.request("GET", "/proofs");
    streamed.body_replayable = false;
    CHECK_FALSE(is_probe(streamed));
}

// Guards against probes that pile up while a service has no requests.
TEST(probe, ends_with_its_time) {
    it.clock.advance(seconds(5));
    CHECK_FALSE(is_probe(it.request("GET", "/proofs")));
}

// Guards against a caller that loses its answer because its request served as a probe.
TEST(probe, failed_probe_is_sent_to_another_target) {
    const auto info = it.request("GET", "/proofs");
    CHECK(goes_to_ejected(info));
    CHECK(it.dispatcher->may_send(info));
    const auto next = it.dispatcher->ended(info, it.attempt(health::answer_kind::silent));
    CHECK(next.has_value());
    CHECK(next->kind == traffic::step_kind::send);
    CHECK(next->target.value != "t0");
}
