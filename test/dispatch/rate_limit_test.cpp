#include "fleet_simulation.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::test;

namespace {

// The load of the order service of the Scottish site when its targets are least busy.
simulation_plan quiet_day() {
    simulation_plan plan;
    plan.targets = 14;
    plan.slots = 6;
    plan.queue_limit = 24;
    plan.requests_per_second = 55.0;
    plan.mean_service_s = 0.5;
    plan.latency_objective = milliseconds(2'000);
    plan.policy = [] { return std::make_unique<routing::least_cost>(); };
    return plan;
}

constexpr seconds window{4};
// Time after a limit is first named from which it must hold for the sum over all nodes.
constexpr seconds settling_time{3};

// Requests that may arrive within `window` from nodes that were told, by the users' rule.
double allowed(double per_second) {
    return 1.5 * per_second * 4.0 + 5.0;
}

std::size_t most_in_window(const std::vector<instant>& arrivals, instant since) {
    std::size_t most = 0;
    for (auto it = std::ranges::lower_bound(arrivals, since); it != arrivals.end(); ++it) {
        const auto end = std::ranges::lower_bound(arrivals, *it + window);
        most = std::max(most, static_cast<std::size_t>(end - it));
    }
    return most;
}

void check_limits(const simulation_plan& plan, const simulation_result& result) {
    const auto since = instant(seconds(1'000)) + plan.rate_limit_start + settling_time;
    for (const auto& it : result.told_arrivals) {
        const auto n = most_in_window(it, since);
        CHECK_TEXT(
            static_cast<double>(n) <= allowed(plan.rate_limit),
            (std::to_string(n) + " requests, allowed " + std::to_string(allowed(plan.rate_limit)))
                .c_str());
    }
}

} // namespace

TEST_GROUP(rate_limit){};

// Guards against a target that gets more requests from all nodes together than it has named.
TEST(rate_limit, targets_get_no_more_than_they_named) {
    for (const double per_second : {0.0, 0.2, 1.0, 1.3, 4.0}) {
        auto plan = quiet_day();
        plan.limited_targets = 2;
        plan.rate_limit = per_second;
        check_limits(plan, fleet_simulation(plan).run());
    }
}

// Guards against bursts of many senders: the more nodes and the higher the limit, the more of them
// may send at the same time.
TEST(rate_limit, holds_in_larger_fleets_and_for_higher_limits) {
    for (const double per_second : {0.2, 1.0, 3.0, 10.0, 30.0}) {
        for (const std::size_t nodes : {4U, 94U}) {
            auto plan = quiet_day();
            plan.nodes = nodes;
            plan.requests_per_second = 300.0;
            plan.mean_service_s = 0.1;
            plan.limited_targets = 3;
            plan.rate_limit = per_second;
            check_limits(plan, fleet_simulation(plan).run());
        }
    }
}

// Guards against a limit that each node keeps only for itself, which shows when nodes don't reach
// each other.
TEST(rate_limit, holds_while_nodes_do_not_reach_each_other) {
    for (const double per_second : {0.0, 1.0, 4.0}) {
        auto plan = quiet_day();
        plan.limited_targets = 2;
        plan.rate_limit = per_second;
        plan.shares_observations = false;
        check_limits(plan, fleet_simulation(plan).run());
    }
}

// Guards against requests that wait for limited targets until their deadline, although it is known
// that there is no room for them; and against limits that keep out what the targets do take.
TEST(rate_limit, requests_beyond_the_limits_of_all_targets_are_refused_at_once) {
    auto plan = quiet_day();
    plan.limited_targets = 14;
    plan.rate_limit = 2.0;
    const auto result = fleet_simulation(plan).run();
    check_limits(plan, result);
    CHECK(result.longest_refusal < milliseconds(100));
    std::size_t arrived = 0;
    for (const auto& it : result.told_arrivals) {
        arrived += it.size();
    }
    const double taken_per_s = 14.0 * plan.rate_limit;
    const auto limited_s = static_cast<double>((plan.duration - plan.rate_limit_start).count());
    CHECK(static_cast<double>(arrived) > 0.5 * taken_per_s * limited_s);
}

// Guards against a request that is sent again on a new connection, and reaches a limited target
// without counting.
TEST(rate_limit, request_sent_again_on_a_new_connection_counts) {
    test::dispatcher_fixture it(test::make_snapshot(1, 6));
    const auto first = it.request("GET", "/a");
    CHECK(it.dispatcher->first_step(first).kind == traffic::step_kind::send);
    auto answer = it.attempt(health::answer_kind::ok);
    answer.rate_limit.per_second = 1.0;
    CHECK_FALSE(it.dispatcher->on_attempt_ended(first, answer).has_value());
    it.dispatcher->finish_request(first, true, nullptr);
    LONGS_EQUAL(1, it.sink.rate_limits.size());
    it.clock.advance(seconds(2));
    const auto second = it.request("GET", "/a");
    CHECK(it.dispatcher->first_step(second).kind == traffic::step_kind::send);
    CHECK_TRUE(it.dispatcher->may_send(second));
    CHECK_TRUE(it.dispatcher->may_send(second));
    it.dispatcher->finish_request(second, true, nullptr);
    it.clock.advance(milliseconds(1'500));
    auto third = it.request("GET", "/a");
    third.deadline = it.clock.now() + milliseconds(100);
    const auto step = it.dispatcher->first_step(third);
    STRCMP_EQUAL("rate-limited", step.reason.type.c_str());
    CHECK(step.reason.result == traffic::outcome::not_run);
    LONGS_EQUAL(503, step.reason.status);
    CHECK(step.reason.retry_after.has_value());
}
