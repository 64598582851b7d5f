#include "wigeonrill/health.h"

#include <algorithm>
#include <cmath>

namespace wigeonrill::health {

namespace {

// Mean length of a spell.
constexpr std::chrono::duration<double> spell_length{6.0};
// 80% of the answers of an ill target fail, 1.5% of a healthy one's.
constexpr double failed_ratio = 50.0;
constexpr double good_ratio = 0.2;
// Healthy service times have a tail, so lateness says less than a failure.
constexpr double late_ratio = 5.0;
// Bounds the memory: no number of failures makes the return slower, and no number of successes the
// next detection.
constexpr double most_probability = 0.99;
constexpr double least_probability = 0.02;

double ratio_of(observation_kind kind) {
    switch (kind) {
    case observation_kind::good:
        return good_ratio;
    case observation_kind::failed:
        return failed_ratio;
    case observation_kind::late:
        return late_ratio;
    case observation_kind::load_only:
        return 1.0;
    }
    return 1.0;
}

} // namespace

void spell_estimate::add(observation_kind kind, instant now) {
    const double before = probability(now);
    const double odds = before / (1.0 - before) * ratio_of(kind);
    probability_ = std::clamp(odds / (1.0 + odds), least_probability, most_probability);
    updated_ = now;
}

double spell_estimate::probability(instant now) const {
    if (updated_ == instant::min()) {
        return probability_;
    }
    const std::chrono::duration<double> age = now - updated_;
    const double kept = std::exp(-std::max(age.count(), 0.0) / spell_length.count());
    return usual_probability + (probability_ - usual_probability) * kept;
}

} // namespace wigeonrill::health
