#include "wigeonrill/dispatch.h"

// Members of service_state for what its targets have to do.

namespace wigeonrill::dispatch {

admission::expected_work service_state::expected_work(const config::route& route) const {
    const auto it = latencies_.find(route.name);
    if (it == latencies_.end() || !it->second.has_enough_samples()) {
        return {};
    }
    return {it->second.mean(), it->second.spread()};
}

double service_state::load_level(instant now) const {
    double own = 0.0;
    double peers = 0.0;
    double slots = 0.0;
    for (const auto& it : eligible_) {
        if (it.is_own && !is_suspected(it, now) && it.record->takes_requests(now)) {
            own += it.record->limiter.outstanding();
            peers += it.record->peer_outstanding.at(now);
            slots += it.record->slots;
        }
    }
    return peers > 0.0 && slots > 0.0 ? (own + peers) / slots : 0.0;
}

} // namespace wigeonrill::dispatch
