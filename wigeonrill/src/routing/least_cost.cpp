#include "wigeonrill/routing.h"

#include <algorithm>
#include <limits>

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
// Candidates that are compared of each kind.
constexpr std::size_t sample_size = 8;

// Returns the kind of a candidate: those of one kind have the same cost of transfer.
std::size_t kind_of(const placement_candidate& it) {
    return (it.is_foreign ? 2 : 0) + (it.is_remote ? 1 : 0);
}

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
    draw_sample(candidates, random);
    std::size_t best = sample_.front();
    double least = std::numeric_limits<double>::infinity();
    std::uint64_t equals = 1;
    for (const auto i : sample_) {
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

void least_cost::draw_sample(std::span<const placement_candidate> candidates,
                             random_source& random) {
    for (auto& it : kinds_) {
        it.clear();
    }
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        kinds_[kind_of(candidates[i])].push_back(i);
    }
    sample_.clear();
    for (auto& it : kinds_) {
        const auto n = std::min(sample_size, it.size());
        for (std::size_t i = 0; i < n; ++i) {
            std::swap(it[i], it[i + random.next_below(it.size() - i)]);
            sample_.push_back(it[i]);
        }
    }
}

} // namespace wigeonrill::routing
