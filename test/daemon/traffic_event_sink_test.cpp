#include "wigeonrill/daemon.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::daemon;

TEST_GROUP(traffic_event_sink) {
    observe::memory_sink log;
    traffic_event_sink events{log};
    int wakes = 0;

    void setup() override {
        events.on_urgent_event([this] { ++wakes; });
    }
};

// Guards against a crash mark that waits for the next tick, which takes up to 50 ms. A caller can
// send the request that crashes targets to another node sooner than that.
TEST(traffic_event_sink, crash_mark_wakes_the_control_thread) {
    events.on_crash_mark(once::crash_mark{7, target_id("t1"), wall_time{}});
    LONGS_EQUAL(1, wakes);
    LONGS_EQUAL(1, events.take_all().size());
}

// Guards against waking the control thread for each answer. Other nodes don't need answers at once.
TEST(traffic_event_sink, answer_does_not_wake_the_control_thread) {
    events.on_answer({});
    LONGS_EQUAL(0, wakes);
    LONGS_EQUAL(1, events.take_all().size());
}

// Guards against a refusal whose log line can't be related to the lines about the crash marks that
// caused it.
TEST(traffic_event_sink, refusal_for_crash_marks_names_the_fingerprint) {
    dispatch::decision_record decision;
    decision.refusal = "contained";
    decision.contained_fingerprint = 0xab12;
    events.on_decision(decision);
    CHECK(log.lines().back().find("fingerprint=000000000000ab12") != std::string::npos);
}

// Guards against a refusal without a route that doesn't tell which route was missing, and from
// which version of the configuration.
TEST(traffic_event_sink, refusal_without_a_route_names_what_was_asked_for) {
    dispatch::decision_record decision;
    decision.refusal = "no-route";
    decision.configuration_version = 4'097;
    decision.host = "h.example";
    decision.path = "/a/1";
    events.on_decision(decision);
    CHECK(log.lines().back().find("version=4097 host=h.example path=/a/1") != std::string::npos);
}
