#include "fleet_simulation.h"

#include <cstdio>

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using test::fleet_simulation;
using test::simulation_plan;

namespace {

simulation_plan near_full_plan() {
    simulation_plan plan;
    plan.policy = [] { return std::make_unique<routing::least_cost>(); };
    return plan;
}

// The nodes of a grown site before targets with room.
simulation_plan large_fleet_plan() {
    auto plan = near_full_plan();
    plan.nodes = 94;
    plan.slots = 6;
    plan.queue_limit = 24;
    plan.latency_objective = milliseconds(2'000);
    return plan;
}

simulation_plan with_failure_bursts() {
    auto plan = near_full_plan();
    plan.failing_at_once = 4;
    plan.requests_per_second = 45.0;
    return plan;
}

test::simulation_result simulate(const char* name, const simulation_plan& plan) {
    auto result = fleet_simulation(plan).run();
    std::printf("%s: %d requests, %d late, %d failed, %d refused, least used %.2f, mean %.2f, "
                "%d of %d windows below the floor, least used without failures %.2f, %d shed\n",
                name, result.requests, result.late, result.failed, result.refused,
                result.min_used_share, result.mean_used_share, result.windows_below_floor,
                result.windows, result.min_share_without_failures, result.shed);
    return result;
}

} // namespace

TEST_GROUP(near_full_load){};

// Guards against 36 nodes that fill the 2 slots of one target while another target is free. With
// three quarters of all slots in use, late requests had waited at the wrong target.
TEST(near_full_load, published_counts_reduce_late_answers) {
    auto blind = near_full_plan();
    blind.policy = [] { return std::make_unique<routing::two_random_choices>(); };
    blind.shares_observations = false;
    const auto before = simulate("blind", blind);
    const auto after = simulate("told", near_full_plan());
    CHECK(after.late * 2 <= before.late);
    CHECK(after.late * 20 <= after.requests);
    LONGS_EQUAL(0, after.refused);
}

// Guards against sending requests to failing targets again and again when a third of the targets is
// failing at any time.
TEST(near_full_load, failure_bursts_affect_few_requests) {
    auto blind = with_failure_bursts();
    blind.policy = [] { return std::make_unique<routing::two_random_choices>(); };
    blind.shares_observations = false;
    const auto before = simulate("failure bursts, blind", blind);
    const auto after = simulate("failure bursts, told", with_failure_bursts());
    CHECK(after.failed * 4 <= before.failed);
    CHECK(after.late * 20 <= after.requests);
}

// Guards against leaving healthy capacity idle while a part of a service's requests fails. In one
// fault-injection run, 3 of 6 healthy targets got no request for 2 s. The required share is 0.7.
TEST(near_full_load, sound_targets_stay_in_use) {
    auto healthy = near_full_plan();
    healthy.targets = 17;
    healthy.requests_per_second = 28.0;
    auto with_failures = healthy;
    with_failures.failing_at_once = 4;
    CHECK(simulate("floor, healthy", healthy).min_used_share >= 0.7);
    CHECK(simulate("floor, failure bursts", with_failures).min_used_share >= 0.7);
}

// Guards against healthy capacity of a large fleet that stays idle long after a failure burst. On a
// grown site, less than 0.7 of it got requests for 2 s while more than a tenth of the requests
// failed.
TEST(near_full_load, recovered_targets_return_to_use) {
    auto grown = large_fleet_plan();
    grown.targets = 96;
    grown.mean_service_s = 0.47;
    grown.requests_per_second = 389.0;
    grown.failing_at_once = 29;
    grown.burst_length = seconds(3);
    CHECK(simulate("recovered, large fleet", grown).min_used_share >= 0.7);
}

// Guards against trials of suspected targets whose failures call for more trials. At most a tenth
// of the requests may fail where fewer do without trials, because from that share on all sound
// targets have to be used.
TEST(near_full_load, trials_do_not_keep_up_the_share_of_failures) {
    auto quiet = near_full_plan();
    quiet.targets = 14;
    quiet.slots = 6;
    quiet.queue_limit = 24;
    quiet.mean_service_s = 0.5;
    quiet.requests_per_second = 25.0;
    quiet.failing_at_once = 4;
    quiet.duration = seconds(120);
    const auto result = simulate("trials", quiet);
    CHECK(result.failed * 10 <= result.requests);
    CHECK(result.min_used_share >= 0.7);
}

// Guards against sound targets that get nothing for long after a failure because few requests fail.
// When something else then keeps requests from being served, less of a service's sound capacity is
// in use than the rule asks for.
TEST(near_full_load, suspected_targets_return_to_use_while_few_requests_fail) {
    auto grown = large_fleet_plan();
    grown.targets = 64;
    grown.mean_service_s = 0.65;
    grown.requests_per_second = 270.0;
    for (const int burst_s : {4, 6}) {
        grown.burst_length = seconds(burst_s);
        grown.failing_at_once = burst_s == 4 ? 12 : 20;
        CHECK(simulate("suspected, large fleet", grown).min_used_share >= 0.7);
    }
}

// Guards against sound targets that get nothing for long after each failure, while most of them had
// one some seconds ago: targets fail in bursts at any time, and a few requests fail at any target.
TEST(near_full_load, sound_targets_stay_in_use_between_their_failure_bursts) {
    auto grown = large_fleet_plan();
    grown.nodes = 91;
    grown.slots = 2;
    grown.queue_limit = 8;
    grown.burst_length = seconds(4);
    grown.burst_period = seconds(12);
    grown.failed_share_in_bursts = 0.85;
    grown.failed_share_else = 0.012;
    grown.targets = 109;
    grown.requests_per_second = 315.0;
    const auto orders = simulate("own bursts, orders", grown);
    grown.burst_length = seconds(2);
    grown.targets = 80;
    grown.mean_service_s = 0.29;
    grown.requests_per_second = 177.0;
    grown.repeatable = true;
    const auto lookups = simulate("own bursts, lookups", grown);
    CHECK(orders.min_used_share >= 0.7);
    CHECK(lookups.min_used_share >= 0.7);
}

namespace {

// Orders of the large site, with the same load and the same failure bursts for each target at every
// size of the fleet.
simulation_plan orders_of_fleet(std::size_t nodes) {
    auto plan = large_fleet_plan();
    plan.nodes = nodes;
    plan.targets = static_cast<int>(nodes * 192 / 142);
    plan.mean_service_s = 0.69;
    plan.requests_per_second = 2.74 * plan.targets;
    plan.burst_length = seconds(9);
    plan.mean_burst_gap = seconds(21);
    plan.failed_share_in_bursts = 0.9;
    plan.failed_share_else = 0.012;
    plan.latency_objective = milliseconds(3'000);
    // Few targets need longer to show a mean of their random bursts.
    plan.duration = seconds(nodes < 50 ? 150 : 50);
    return plan;
}

double failed_share(const test::simulation_result& result) {
    return static_cast<double>(result.failed) / result.requests;
}

} // namespace

// Guards against a size of the fleet from which on more requests fail because nodes know less about
// the targets that they use.
TEST(near_full_load, requests_fail_no_more_often_in_larger_fleets) {
    const auto small = simulate("36 nodes", orders_of_fleet(36));
    for (const std::size_t nodes : {48, 49, 94, 110, 142, 300}) {
        const auto name = std::to_string(nodes) + " nodes";
        const auto result = simulate(name.c_str(), orders_of_fleet(nodes));
        CHECK(failed_share(result) <= 1.2 * failed_share(small));
        CHECK(result.late * 20 <= result.requests);
        CHECK(result.min_used_share >= 0.7);
    }
}

// Guards against thirds of a fleet that each have to see the same failure, because nodes use all
// targets but tell only a part of the fleet what they see.
TEST(near_full_load, slices_spare_requests_in_a_large_fleet) {
    auto thirds = orders_of_fleet(142);
    thirds.slices = false;
    thirds.told_groups = 3;
    const auto before = simulate("142 nodes, thirds", thirds);
    auto all = orders_of_fleet(142);
    all.slices = false;
    simulate("142 nodes, all told", all);
    const auto after = simulate("142 nodes, slices", orders_of_fleet(142));
    CHECK(after.failed * 3 <= before.failed * 2);
}

// Guards against sound targets that all rest at once because their first failures came together.
// When a fleet without any knowledge takes up a service of which a third of the targets is failing,
// it learns of these within half a second; two seconds later a third of those without further
// failures had got nothing since.
TEST(near_full_load, targets_that_fail_together_do_not_rest_together) {
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
        auto start = near_full_plan();
        start.nodes = 37;
        start.targets = 95;
        start.requests_per_second = 400.0;
        start.mean_service_s = 0.28;
        start.burst_length = seconds(3);
        start.mean_burst_gap = seconds(6);
        start.failed_share_in_bursts = 0.9;
        start.failed_share_else = 0.012;
        start.duration = seconds(10);
        start.seed = seed;
        const auto result = simulate("start among failing targets", start);
        CHECK(result.min_share_without_failures >= 0.7);
    }
}

// Guards against nodes that fill the same targets because their counts are some milliseconds old,
// while other targets are free. In bursts of 2.5 times the mean, with three quarters of all slots
// in use, targets had shed more than a quarter of the requests.
TEST(near_full_load, nodes_spread_their_requests_in_a_burst) {
    auto burst = near_full_plan();
    burst.nodes = 37;
    burst.targets = 95;
    burst.requests_per_second = 1'000.0;
    burst.mean_service_s = 0.14;
    burst.observation_delay = milliseconds(20);
    burst.duration = seconds(10);
    const auto result = simulate("burst", burst);
    CHECK(result.shed * 100 <= result.requests);
    CHECK(result.late * 100 <= result.requests);
}
