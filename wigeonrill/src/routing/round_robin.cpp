#include "wigeonrill/routing.h"

namespace wigeonrill::routing {

std::size_t round_robin::choose(std::span<const placement_candidate> candidates,
                                random_source& /*random*/) {
    WIGEONRILL_ASSERT(!candidates.empty(), "choose needs at least one candidate");
    return next_++ % candidates.size();
}

} // namespace wigeonrill::routing
