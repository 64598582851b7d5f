#include "wigeonrill/daemon.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::daemon;

TEST_GROUP(traffic_events) {
    observe::memory_sink log;
    traffic_events events{log};
    int wakes = 0;

    void setup() override {
        events.on_urgent([this] { ++wakes; });
    }
};

// Guards against a crash mark that waits for the next tick: a caller that sends a crashing request
// again at once, to another node, is faster than 50 ms.
TEST(traffic_events, crash_mark_is_told_at_once) {
    events.on_crash_mark(once::crash_mark{7, target_id("t1"), wall_time{}});
    LONGS_EQUAL(1, wakes);
    LONGS_EQUAL(1, events.take_all().size());
}

// Guards against wake-ups for each answered request, which no other node waits for.
TEST(traffic_events, answer_waits_for_the_next_tick) {
    events.on_answer({});
    LONGS_EQUAL(0, wakes);
    LONGS_EQUAL(1, events.take_all().size());
}
