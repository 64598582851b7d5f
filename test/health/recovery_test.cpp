#include "health_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::health;

TEST_GROUP(recovery){};

// Guards against a flapping target that returns as often as it fails.
TEST(recovery, doubles_the_hold_time_up_to_five_minutes) {
    recovery course;
    instant now{seconds(10)};
    for (const int expected : {10, 20, 40, 80, 160, 300, 300}) {
        course.eject(now);
        LONGS_EQUAL(expected, course.hold().count());
        now += course.hold();
        CHECK(course.is_hold_over(now));
        course.end(now);
        now += seconds(5);
    }
    now += recovery::forgiven_after;
    course.eject(now);
    LONGS_EQUAL(10, course.hold().count());
}

// Guards against a return at full share, which would break a target that is still weak.
TEST(recovery, ramps_the_weight) {
    DOUBLES_EQUAL(0.1, ramp_weight(milliseconds(0)), 1e-9);
    DOUBLES_EQUAL(0.2, ramp_weight(seconds(2)), 1e-9);
    DOUBLES_EQUAL(0.8, ramp_weight(seconds(7)), 1e-9);
    DOUBLES_EQUAL(1.0, ramp_weight(seconds(8)), 1e-9);
}

// Guards against a return without probes, and against more than one probe per target and 5 s, which
// at 25 ms each would load a weak target.
TEST(recovery, returns_after_good_probes_of_one_aggregator) {
    fleet nodes(4, {});
    nodes.settle();
    for (int i = 0; i < 12; ++i) {
        nodes.send(static_cast<std::uint32_t>(i % 4), 3, usual_latency * 10);
        nodes.tick();
    }
    CHECK(nodes.state(0, 3) == target_state::sick);
    nodes.probes = 0;
    nodes.probe_kind = answer_kind::silent;
    nodes.tick_for(seconds(60));
    CHECK(nodes.state(0, 3) == target_state::sick);
    CHECK(nodes.probes >= 10 && nodes.probes <= 12);
    nodes.probe_kind = answer_kind::ok;
    nodes.tick_for(seconds(16));
    CHECK(nodes.state(0, 3) == target_state::warming);
    nodes.tick_for(seconds(9));
    for (std::uint32_t i = 0; i < 4; ++i) {
        CHECK(nodes.state(i, 3) == target_state::healthy);
    }
}
