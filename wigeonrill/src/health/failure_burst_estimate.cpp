#include "wigeonrill/health.h"

#include <algorithm>
#include <cmath>

namespace wigeonrill::health {

namespace {

// Mean length of a burst of failures, in seconds.
constexpr std::chrono::duration<double> mean_burst_length{6.0};
// In a burst 80% of a target's answers fail, otherwise 1.5%.
constexpr double failed_likelihood_ratio = 50.0;
constexpr double good_likelihood_ratio = 0.2;
// Service times of healthy targets are heavy-tailed, so a late answer is weaker evidence than a
// failure.
constexpr double late_likelihood_ratio = 5.0;
// Bounds of the probability. Without them many failures would delay the return of the target, and
// many successes the detection of the next burst.
constexpr double max_probability = 0.99;
constexpr double min_probability = 0.02;

double likelihood_ratio_of(observation_kind kind) {
    switch (kind) {
    case observation_kind::good:
        return good_likelihood_ratio;
    case observation_kind::failed:
        return failed_likelihood_ratio;
    case observation_kind::late:
        return late_likelihood_ratio;
    case observation_kind::load_only:
        return 1.0;
    }
    return 1.0;
}

} // namespace

void failure_burst_estimate::add(observation_kind kind, instant now) {
    const double before = probability(now);
    const double odds = before / (1.0 - before) * likelihood_ratio_of(kind);
    probability_ = std::clamp(odds / (1.0 + odds), min_probability, max_probability);
    updated_ = now;
    if (kind == observation_kind::failed || kind == observation_kind::late) {
        last_bad_at_ = now;
    }
}

double failure_burst_estimate::probability(instant now) const {
    if (updated_ == instant::min()) {
        return probability_;
    }
    const std::chrono::duration<double> age = now - updated_;
    const double remaining = std::exp(-std::max(age.count(), 0.0) / mean_burst_length.count());
    return prior_probability + (probability_ - prior_probability) * remaining;
}

} // namespace wigeonrill::health
