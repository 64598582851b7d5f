#include "wigeonrill/health.h"

#include <cmath>

namespace wigeonrill::health {

void failure_share::fading_count::add(instant now) {
    weight_ = rate(now) * mean_age_.count() + 1.0;
    updated_ = now;
}

double failure_share::fading_count::rate(instant now) const {
    const seconds_as_double age = now - updated_;
    return weight_ / mean_age_.count() * std::exp(-std::max(age / mean_age_, 0.0));
}

double failure_share::at(instant now, std::size_t nodes) const {
    const double requests = requests_.rate(now) * static_cast<double>(nodes);
    return requests > 0.0 ? failures_.rate(now) / requests : 0.0;
}

} // namespace wigeonrill::health
