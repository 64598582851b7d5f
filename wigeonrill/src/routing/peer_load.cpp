#include "wigeonrill/routing.h"

namespace wigeonrill::routing {

void peer_load::report(const node_id& peer, std::uint32_t count, instant now) {
    if (count == 0) {
        counts_.erase(peer);
    } else {
        counts_[peer] = {count, now};
    }
}

std::uint32_t peer_load::at(instant now) const {
    std::uint32_t sum = 0;
    for (const auto& [peer, it] : counts_) {
        sum += now - it.received < lifetime ? it.count : 0;
    }
    return sum;
}

} // namespace wigeonrill::routing
