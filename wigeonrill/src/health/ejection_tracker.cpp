#include "wigeonrill/health.h"

#include <algorithm>
#include <cmath>

namespace wigeonrill::health {

void ejection_tracker::eject(instant now) {
    const bool again = has_returned_ && now - returned_ < backoff_reset_after;
    hold_time_ = again ? std::min(2 * hold_time_, max_hold) : initial_hold;
    hold_until_ = now + hold_time_;
    last_probe_ = now;
    good_probes_ = 0;
    ejected_ = true;
}

void ejection_tracker::end(instant now) {
    ejected_ = false;
    has_returned_ = true;
    returned_ = now;
}

void ejection_tracker::add_probe(bool good) {
    good_probes_ = good ? good_probes_ + 1 : 0;
}

bool ejection_tracker::is_probe_due(instant now) const {
    return ejected_ && now - last_probe_ >= probe_interval;
}

double ramp_weight(nanoseconds since_return) {
    constexpr double first = 0.1;
    constexpr seconds doubling{2};
    const auto steps = static_cast<int>(std::clamp<std::int64_t>(since_return / doubling, 0, 10));
    return std::min(1.0, std::ldexp(first, steps));
}

} // namespace wigeonrill::health
