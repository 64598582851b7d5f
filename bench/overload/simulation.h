#ifndef WIGEONRILL_BENCH_OVERLOAD_SIMULATION_H
#define WIGEONRILL_BENCH_OVERLOAD_SIMULATION_H

#include "wigeonrill/dispatch.h"

#include <queue>

namespace wigeonrill::bench {

/// How the nodes place requests.
enum class proxy_kind : std::uint8_t {
    product,          ///< decision_core: limits, queue, budgets, two random choices
    product_turns,    ///< the same with round robin as the policy
    product_fewest,   ///< the same with least outstanding as the policy
    round_robin,      ///< sends at once, up to 3 attempts, the next target after a shed
    least_outstanding ///< the same with the fewest outstanding requests of the node
};

struct plan {
    proxy_kind proxy{proxy_kind::product};
    std::uint32_t slots{6};
    double load{1.0}; ///< arrivals / (targets x slots / mean service time)
    std::uint64_t seed{1};
};

struct outcome_counts {
    double good_per_capacity{0.0}; ///< answers in time per second / capacity
    double p99_ms{0.0};            ///< of the answers in time, from arrival to answer
    double refused_ms{0.0};        ///< mean time until a refusal
    std::uint64_t arrivals{0};
    std::uint64_t good{0};
    std::uint64_t refused{0}; ///< without a run
    std::uint64_t late{0};    ///< given up in a target at the deadline
    std::uint64_t sheds{0};   ///< shed answers of targets
};

/// Calculates 60 s of 36 nodes before 10 targets, of which the first is 10 times slower. Service
/// times are exponential with a mean of 100 ms, arrivals are Poisson, the deadline is 2 s, one way
/// through the network takes 0.25 ms, and a target without a free slot sheds at once. No target is
/// ejected: the figures are of placement and admission alone.
[[nodiscard]] outcome_counts simulate(const plan& plan);

} // namespace wigeonrill::bench

#endif
