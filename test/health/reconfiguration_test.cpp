#include "test/health/health_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::health;

TEST_GROUP(reconfiguration) {
    fleet all{2, {config::health_weight::detection, 6}};
};

// Guards against losing verdicts when the configuration changes, and against ignoring a change of
// the floor alone.
TEST(reconfiguration, keeps_verdicts_and_applies_a_changed_floor) {
    all.settle();
    for (int i = 0; i < 12; ++i) {
        all.send(0, 2, usual_latency * 10);
        all.send(1, 2, usual_latency * 10);
        all.tick();
    }
    CHECK(all.state(0, 2) == target_state::sick);
    all.configure({config::health_weight::detection, 6, 6, 0, milliseconds(0), 2});
    CHECK(all.state(0, 2) == target_state::sick);
    CHECK_FALSE(all.is_used(0, 2));
    constexpr std::uint32_t all_slots = 36;
    all.configure({config::health_weight::detection, 6, 6, all_slots, milliseconds(0), 3});
    CHECK(all.is_used(0, 2));
}
