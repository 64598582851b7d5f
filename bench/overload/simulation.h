#ifndef WIGEONRILL_BENCH_OVERLOAD_SIMULATION_H
#define WIGEONRILL_BENCH_OVERLOAD_SIMULATION_H

#include "wigeonrill/dispatch.h"

#include <queue>

namespace wigeonrill::bench {

/// Proxy that runs on the simulated nodes.
enum class proxy_kind : std::uint8_t {
    product,                   ///< dispatch::decision_core with the two_random_choices policy
    product_round_robin,       ///< dispatch::decision_core with the round_robin policy
    product_least_outstanding, ///< dispatch::decision_core with the least_outstanding policy
    round_robin,      ///< baseline: sends at once in turn; up to 3 attempts when targets shed
    least_outstanding ///< the same baseline, but chooses the target with the fewest outstanding
                      ///< requests of the node
};

/// Parameters of one simulation.
struct scenario {
    proxy_kind proxy{proxy_kind::product};
    std::uint32_t slots{6}; ///< requests that a target executes at the same time
    double load{1.0}; ///< arrival rate / capacity, which is targets x slots / mean service time
    std::uint64_t seed{1};
};

/// Results of one simulation.
struct outcome_counts {
    double good_per_capacity{0.0}; ///< answers before the deadline per second / capacity
    double p99_ms{0.0};            ///< latency of these answers, from arrival to answer
    double mean_refusal_ms{0.0};   ///< from arrival to refusal; refusals at the deadline count as 0
    std::uint64_t arrivals{0};
    std::uint64_t good{0};    ///< answered before the deadline
    std::uint64_t refused{0}; ///< ended without being executed by a target
    std::uint64_t late{0};    ///< deadline passed while a target executed the request
    std::uint64_t sheds{0};   ///< attempts that a target shed because all its slots were busy
};

/// Simulates 60 s of 36 nodes in front of 10 targets, of which the first is 10 times slower.
/// Service times are exponential with a mean of 100 ms, arrivals are a Poisson process, the
/// deadline is 2 s, the network delay is 0.25 ms in each direction, and a target without a free
/// slot sheds at once. No target is ejected, so that the results depend on placement and admission
/// only.
///
/// \returns counts and latencies of the run, which are the same for the same scenario
[[nodiscard]] outcome_counts simulate(const scenario& scenario);

} // namespace wigeonrill::bench

#endif
