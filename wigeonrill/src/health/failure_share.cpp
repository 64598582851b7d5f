#include "wigeonrill/health.h"

#include <algorithm>
#include <cmath>

namespace wigeonrill::health {

namespace {

constexpr std::chrono::duration<double> fading_time{2.0};
// One failure among fewer answers says nothing of the whole service.
constexpr double least_answers = 10.0;

} // namespace

void failure_share::add(observation_kind kind, instant now) {
    if (kind == observation_kind::load_only) {
        return;
    }
    const double rest = kept(now);
    answers_ = answers_ * rest + 1.0;
    failed_ = failed_ * rest + (kind == observation_kind::good ? 0.0 : 1.0);
    updated_ = now;
}

double failure_share::at(instant now) const {
    const double answers = answers_ * kept(now);
    return failed_ * kept(now) / std::max(answers, least_answers);
}

double failure_share::kept(instant now) const {
    if (updated_ == instant::min()) {
        return 0.0;
    }
    const std::chrono::duration<double> age = now - updated_;
    return std::exp(-std::max(age.count(), 0.0) / fading_time.count());
}

} // namespace wigeonrill::health
