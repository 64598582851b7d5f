#include "wigeonrill/health.h"

#include <algorithm>
#include <cmath>

namespace wigeonrill::health {

void recovery::eject(instant now) {
    const bool again = returned_before_ && now - returned_ < forgiven_after;
    hold_ = again ? std::min(2 * hold_, longest_hold) : first_hold;
    hold_until_ = now + hold_;
    last_probe_ = now;
    good_probes_ = 0;
    ejected_ = true;
}

void recovery::end(instant now) {
    ejected_ = false;
    returned_before_ = true;
    returned_ = now;
}

void recovery::add_probe(bool good) {
    good_probes_ = good ? good_probes_ + 1 : 0;
}

bool recovery::is_probe_due(instant now) const {
    return ejected_ && now - last_probe_ >= probe_interval;
}

double ramp_weight(nanoseconds since_return) {
    constexpr double first = 0.1;
    constexpr seconds doubling{2};
    const auto steps = static_cast<int>(std::clamp<std::int64_t>(since_return / doubling, 0, 10));
    return std::min(1.0, std::ldexp(first, steps));
}

} // namespace wigeonrill::health
