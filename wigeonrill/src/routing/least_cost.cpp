#include "wigeonrill/routing.h"

#include <algorithm>

namespace wigeonrill::routing {

namespace {

// A failed request costs the caller as much as waiting for this many service times.
constexpr double failure_cost = 6.0;
// Many targets slow down when they are nearly full, so requests are spread before that.
constexpr double utilization_cost = 0.5;
// Traffic between failure domains is charged for, so a target in this node's domain is preferred
// unless its utilization is more than remote_cost / utilization_cost higher.
constexpr double remote_cost = 0.15;
// Targets of other groups get requests when those of the own slice are full or suspected of
// failing.
constexpr double foreign_cost = 0.6;
// A cold target needs about twice the service time.
constexpr double cold_cost = 1.0;

} // namespace

double expected_cost(const placement_candidate& it) {
    const double slots = std::max(1.0, static_cast<double>(it.slots));
    const double load =
        std::max(static_cast<double>(it.outstanding) + it.peer_outstanding, it.reported_load);
    const double waiting = std::max(0.0, load + 1.0 - slots) / slots;
    return waiting + utilization_cost * load / slots + failure_cost * it.failure_probability +
           cold_cost * (1.0 - it.weight) + (it.is_remote ? remote_cost : 0.0) +
           (it.is_foreign ? foreign_cost : 0.0);
}

std::size_t least_cost::choose(std::span<const placement_candidate> candidates,
                               random_source& random) {
    WIGEONRILL_ASSERT(!candidates.empty(), "choose needs at least one candidate");
    std::size_t best = 0;
    double least = expected_cost(candidates[0]);
    std::uint64_t equals = 1;
    for (std::size_t i = 1; i < candidates.size(); ++i) {
        const double cost = expected_cost(candidates[i]);
        if (cost < least) {
            best = i;
            least = cost;
            equals = 1;
        } else if (cost == least && random.next_below(++equals) == 0) {
            best = i;
        }
    }
    return best;
}

} // namespace wigeonrill::routing
