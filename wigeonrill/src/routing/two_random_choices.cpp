#include "wigeonrill/routing.h"

namespace wigeonrill::routing {

namespace {

constexpr std::size_t none = static_cast<std::size_t>(-1); // no index

// Draws the index of a candidate in proportion to capacity, never the index `without`. `total` is
// the sum of the capacities without that candidate.
std::size_t draw_weighted(std::span<const placement_candidate> candidates, std::size_t without,
                          double total, random_source& random) {
    double rest = random.uniform() * total;
    std::size_t last = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (i == without) {
            continue;
        }
        last = i;
        rest -= candidates[i].capacity;
        if (rest < 0.0) {
            return i;
        }
    }
    return last; // reached only by rounding errors in `rest`
}

} // namespace

std::size_t two_random_choices::choose(std::span<const placement_candidate> candidates,
                                       random_source& random) {
    WIGEONRILL_ASSERT(!candidates.empty(), "choose needs at least one candidate");
    if (candidates.size() == 1) {
        return 0;
    }
    double total = 0.0;
    for (const auto& it : candidates) {
        total += it.capacity;
    }
    const auto first = draw_weighted(candidates, none, total, random);
    const auto second =
        draw_weighted(candidates, first, total - candidates[first].capacity, random);
    return relative_load(candidates[second]) < relative_load(candidates[first]) ? second : first;
}

} // namespace wigeonrill::routing
