#ifndef WIGEONRILL_TEST_DISPATCH_SIMULATION_PLAN_H
#define WIGEONRILL_TEST_DISPATCH_SIMULATION_PLAN_H

#include "fixture.h"

namespace wigeonrill::test {

/// Parameters of a simulated fleet that serves requests of one service.
struct simulation_plan {
    std::size_t nodes{36};
    int targets{13};
    std::uint32_t slots{2};           ///< concurrent requests per target
    std::uint32_t queue_limit{8};     ///< requests that wait in a target; further ones are shed
    bool repeatable{false};           ///< the requests are idempotent
    double requests_per_second{90.0}; ///< mean rate of Poisson arrivals at random nodes
    double mean_service_s{0.22};      ///< service times are uniform within 50% of it
    std::size_t failing_at_once{0};   ///< number of failing targets; they change in turn
    seconds burst_length{6};          ///< time for which the same targets fail
    /// Time from the start of a target's burst of failures to that of its next one. The bursts of
    /// the targets are independent, and replace those by turns. 0: no such bursts.
    seconds burst_period{0};
    /// Mean time between two bursts of a target, of exponential distribution. The length of each
    /// burst is uniform within 50% of burst_length. 0: no such bursts.
    seconds mean_burst_gap{0};
    double failed_share_in_bursts{1.0}; ///< share of the requests that a failing target fails
    double failed_share_else{0.0};      ///< share of the requests that other targets fail
    /// Time after a failure in which a target doesn't count as healthy.
    seconds recovery_time{2};
    milliseconds latency_objective{800}; ///< slower answers count as late
    milliseconds observation_delay{2};   ///< delay of an observation between nodes
    bool shares_observations{true};      ///< nodes send each other their observations
    bool slices{true};          ///< groups of nodes use slices of the targets, as in the product
    std::size_t told_groups{1}; ///< without slices: groups whose nodes tell each other
    seconds duration{60};       ///< simulated time in which requests arrive
    std::size_t limited_targets{0}; ///< the first targets name a rate limit after rate_limit_start
    double rate_limit{1.0};         ///< requests per second from all nodes together
    seconds rate_limit_start{5};    ///< from the start of the simulation
    dispatch::core_options::policy_factory policy;
    std::uint64_t seed{1}; ///< of arrivals, service times and bursts
};

/// Time after which a node that passed on an answer with a limit must keep to it.
inline constexpr milliseconds telling_time{500};

struct simulation_result {
    int requests{0};
    int late{0};
    int failed{0};
    int refused{0};
    /// Times of the requests that reached each limited target from nodes that it had told its limit
    /// at least `telling_time` before.
    std::vector<std::vector<instant>> told_arrivals;
    nanoseconds longest_refusal{0}; ///< longest time from arrival until a refusal
    double min_used_share{1.0};  ///< least share of healthy targets that got a request within 2 s
    double mean_used_share{0.0}; ///< mean of the same
    int windows{0};              ///< number of spans of 2 s that were examined
    int windows_below_floor{0};  ///< those with a share below 0.7
    /// Least share of the targets without a failed answer for 2 s that got a request in these 2 s,
    /// over all spans of 2 s. Unlike min_used_share it counts targets whose burst goes on unseen.
    double min_share_without_failures{1.0};
    int shed{0};                     ///< requests that a full target turned away
    std::uint32_t most_in_target{0}; ///< most requests at one time in a target, waiting or running
};

} // namespace wigeonrill::test

#endif
