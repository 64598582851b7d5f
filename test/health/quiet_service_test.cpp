#include "test/health/health_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::health;

TEST_GROUP(quiet_service) {
    static constexpr std::uint32_t targets = 3;
    fleet all{1, {config::health_weight::detection, targets}};

    // Adds one attempt at each target, with one request in flight at a time.
    void one_round(answer_kind first, milliseconds latency) {
        all.tick_for(seconds(1));
        all.send(0, 0, latency, first);
        all.tick();
        for (std::uint32_t target = 1; target < targets; ++target) {
            all.send(0, target);
            all.tick();
        }
    }
};

// Guards against a target that fails all of its few requests and thereby raises the usual failure
// rate of the route. A hanging target was not ejected within 30 s for this reason.
TEST(quiet_service, ejects_a_target_that_never_answers) {
    for (int i = 0; i < 6; ++i) {
        one_round(answer_kind::silent, seconds(1));
    }
    CHECK(all.state(0, 0) == target_state::sick);
}

// Guards against ejecting targets of a route on which all targets have the same high failure rate.
TEST(quiet_service, keeps_targets_with_equal_failure_rates) {
    for (int i = 0; i < 100; ++i) {
        for (std::uint32_t target = 0; target < targets; ++target) {
            const bool fails = (i + target) % 5 == 0;
            all.send(0, target, usual_latency, fails ? answer_kind::server_error : answer_kind::ok);
            all.tick();
        }
    }
    for (std::uint32_t target = 0; target < targets; ++target) {
        CHECK(all.state(0, target) != target_state::sick);
    }
}
