#include "health_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::health;

TEST_GROUP(recovery){};

// Guards against a flapping target that returns to use after each failure with the same short hold
// time.
TEST(recovery, doubles_the_hold_time_up_to_five_minutes) {
    ejection_tracker ejection;
    instant now{seconds(10)};
    for (const int expected : {10, 20, 40, 80, 160, 300, 300}) {
        ejection.eject(now);
        LONGS_EQUAL(expected, ejection.hold_time().count());
        now += ejection.hold_time();
        CHECK(ejection.is_hold_over(now));
        ejection.end(now);
        now += seconds(5);
    }
    now += ejection_tracker::backoff_reset_after;
    ejection.eject(now);
    LONGS_EQUAL(10, ejection.hold_time().count());
}

// Guards against a return at full weight, which would overload a target that hasn't fully
// recovered.
TEST(recovery, ramps_the_weight) {
    DOUBLES_EQUAL(0.1, ramp_weight(milliseconds(0)), 1e-9);
    DOUBLES_EQUAL(0.2, ramp_weight(seconds(2)), 1e-9);
    DOUBLES_EQUAL(0.8, ramp_weight(seconds(7)), 1e-9);
    DOUBLES_EQUAL(1.0, ramp_weight(seconds(8)), 1e-9);
}

// Guards against a return without probes, and against more than one probe per target in 5 s, which
// at 25 ms each would load a target that hasn't recovered.
TEST(recovery, returns_after_good_probes_by_one_aggregator) {
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
