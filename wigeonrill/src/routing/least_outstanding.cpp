#include "wigeonrill/routing.h"

namespace wigeonrill::routing {

std::size_t least_outstanding::choose(std::span<const placement_candidate> candidates,
                                      random_source& random) {
    WIGEONRILL_ASSERT(!candidates.empty(), "choose needs at least one candidate");
    std::size_t best = 0;
    std::uint64_t equals = 1;
    for (std::size_t i = 1; i < candidates.size(); ++i) {
        if (candidates[i].outstanding < candidates[best].outstanding) {
            best = i;
            equals = 1;
        } else if (candidates[i].outstanding == candidates[best].outstanding &&
                   random.next_below(++equals) == 0) {
            best = i;
        }
    }
    return best;
}

} // namespace wigeonrill::routing
