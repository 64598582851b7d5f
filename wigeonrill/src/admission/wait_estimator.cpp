#include "wigeonrill/admission.h"

#include <algorithm>

namespace wigeonrill::admission {

namespace {

// Weight of the newest interval in the exponentially weighted mean.
constexpr double smoothing_factor = 0.1;

} // namespace

void wait_estimator::on_dequeue(instant now, bool others_wait) {
    if (last_dequeue_) {
        ++count_;
        const auto interval = std::chrono::duration<double>(now - *last_dequeue_).count();
        mean_interval_s_ =
            mean_interval_s_ == 0.0
                ? interval
                : mean_interval_s_ + smoothing_factor * (interval - mean_interval_s_);
    }
    last_dequeue_ = others_wait ? std::optional(now) : std::nullopt;
}

nanoseconds wait_estimator::estimated_wait(std::size_t ahead) const {
    const std::chrono::duration<double> estimate(mean_interval_s_ * static_cast<double>(ahead + 1));
    return std::chrono::duration_cast<nanoseconds>(std::min(estimate, decltype(estimate)(3600.0)));
}

} // namespace wigeonrill::admission
