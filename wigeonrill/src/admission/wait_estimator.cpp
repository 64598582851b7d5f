#include "wigeonrill/admission.h"

#include <algorithm>
#include <cmath>

namespace wigeonrill::admission {

namespace {

constexpr double newest_share = 0.1;

} // namespace

void wait_estimator::on_grant(instant now, bool others_wait) {
    if (last_) {
        const auto interval = std::chrono::duration<double>(now - *last_).count();
        interval_ = interval_ == 0.0 ? interval : interval_ + newest_share * (interval - interval_);
    }
    last_ = others_wait ? std::optional(now) : std::nullopt;
}

nanoseconds wait_estimator::wait(std::size_t ahead) const {
    const std::chrono::duration<double> estimate(interval_ * static_cast<double>(ahead + 1));
    return std::chrono::duration_cast<nanoseconds>(std::min(estimate, decltype(estimate)(3600.0)));
}

seconds wait_estimator::retry_after(std::size_t ahead, double jitter) const {
    const auto estimate = std::chrono::duration<double>(wait(ahead)).count();
    const auto base = std::clamp(std::ceil(estimate), 1.0, 30.0);
    return seconds(static_cast<std::int64_t>(std::floor(base + jitter * (base + 1.0))));
}

} // namespace wigeonrill::admission
