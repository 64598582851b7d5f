#include "wigeonrill/quota.h"

#include "test/quota/limited_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using test::fleet_plan;
using test::limited_fleet;

namespace {

// Runs a fleet and checks that no window has more admitted requests than the limit, its overage of
// a quarter and 20 requests more allow.
void check_bound(const fleet_plan& plan, std::uint64_t seed) {
    limited_fleet fleet(plan, seed);
    const auto result = fleet.run();
    const double allowed = (plan.rate * test::window_s + plan.burst) * 1.25 + 20.0;
    CHECK_TEXT(result.most_in_window <= allowed,
               StringFromFormat("seed %d: %d admitted in a window, %.1f allowed",
                                static_cast<int>(seed), static_cast<int>(result.most_in_window),
                                allowed)
                   .asCharString());
}

} // namespace

TEST_GROUP(fleet_limit){};

// Guards against a limit that each node applies by itself, so that a workspace that asks for many
// times its limit gets it once for each node.
TEST(fleet_limit, holds_for_a_workspace_that_asks_for_many_times_its_limit) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        for (const double rate : {2.0, 20.0, 200.0}) {
            fleet_plan plan;
            plan.duration = seconds(12);
            plan.rate = plan.burst = rate;
            plan.demand = 5.0 * rate;
            check_bound(plan, seed);
        }
    }
}

// Guards against granters that each grant the whole limit while the fleet is divided, while nodes
// end and start, freeze, and messages get lost or come late.
TEST(fleet_limit, holds_in_splits_restarts_freezes_and_losses) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fleet_plan plan;
        plan.nodes = 24;
        plan.rate = plan.burst = seed % 2 == 0 ? 3.0 : 60.0;
        plan.burst = seed % 5 == 0 ? 20.0 * plan.rate : plan.rate;
        plan.demand = 6.0 * plan.rate;
        plan.loss = 0.05;
        plan.max_delay = milliseconds(60);
        plan.disturbances = test::disturbance_kind::all;
        check_bound(plan, seed);
    }
}

// Guards against processes that take themselves and the seeds, which nobody has heard, for the
// whole fleet, so that each of many that can't find each other uses a large part of the limit.
TEST(fleet_limit, holds_while_restarted_nodes_do_not_find_each_other) {
    for (const auto disturbances :
         {test::disturbance_kind::seeds_gone, test::disturbance_kind::one_seed_up,
          test::disturbance_kind::seeds_return, test::disturbance_kind::two_groups}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            for (const double rate : {2.0, 40.0}) {
                fleet_plan plan;
                plan.nodes = seed == 1 ? 12 : 93;
                plan.duration = seconds(20);
                plan.rate = rate;
                plan.burst = seed == 1 ? rate / 4 : rate;
                plan.demand = 8.0 * rate;
                plan.disturbances = disturbances;
                check_bound(plan, seed);
            }
        }
    }
}

// Guards against nodes that admit nothing at all while they use their own parts of a limit, because
// each part is below one request.
TEST(fleet_limit, nodes_that_find_nobody_admit_the_sum_of_their_parts) {
    fleet_plan plan;
    plan.nodes = 83;
    plan.max_nodes = 83;
    plan.duration = seconds(20);
    plan.rate = plan.burst = 20.0;
    plan.demand = 16.0;
    plan.disturbances = test::disturbance_kind::seeds_gone;
    limited_fleet fleet(plan, 5);
    const auto result = fleet.run();
    CHECK_TEXT(
        result.refused * 3 <= result.requests * 2,
        StringFromFormat("%d of %d refused", result.refused, result.requests).asCharString());
}

// Guards against limits that refuse honest callers because their requests reach few nodes or come
// unevenly.
TEST(fleet_limit, serves_a_workspace_below_its_limit_on_a_calm_day) {
    for (const double rate : {3.0, 20.0, 200.0}) {
        fleet_plan plan;
        plan.rate = plan.burst = rate;
        plan.demand = rate / 1.6;
        plan.skew = 1.0;
        limited_fleet fleet(plan, 7);
        const auto result = fleet.run();
        CHECK(result.requests > 0);
        CHECK_TEXT(
            result.refused * 100 <= result.requests,
            StringFromFormat("rate %.0f: %d of %d refused", rate, result.refused, result.requests)
                .asCharString());
        CHECK(result.longest_wait <= milliseconds(100));
    }
}

// Guards against a limit that is lost with its granters: while a third of the nodes is gone, the
// others serve what a workspace below its limit asks.
TEST(fleet_limit, serves_below_the_limit_while_a_third_of_the_nodes_is_gone) {
    fleet_plan plan;
    plan.rate = plan.burst = 40.0;
    plan.demand = 25.0;
    plan.disturbances = test::disturbance_kind::kill_third;
    limited_fleet fleet(plan, 3);
    const auto result = fleet.run();
    CHECK_TEXT(
        result.refused * 10 <= result.requests,
        StringFromFormat("%d of %d refused", result.refused, result.requests).asCharString());
}
