#include "wigeonrill/base.h"

namespace wigeonrill {

void token_bucket::refill(instant now) {
    if (now > updated_) {
        const std::chrono::duration<double> elapsed = now - updated_;
        level_ = std::min(burst_, level_ + elapsed.count() * rate_);
        updated_ = now;
    }
}

void token_bucket::charge(std::size_t tokens) {
    level_ = std::max(-burst_, level_ - static_cast<double>(tokens));
}

void token_bucket::set_rate(double rate, double burst, instant now) {
    refill(now);
    rate_ = rate;
    burst_ = burst;
    level_ = std::clamp(level_, -burst, burst);
}

instant token_bucket::time_of_level(double wanted) const {
    constexpr double rounding = 1e-6; // of the sums of elapsed times
    constexpr std::chrono::hours never{24 * 365};
    const double missing = wanted - rounding - level_;
    if (missing <= 0.0) {
        return updated_;
    }
    const std::chrono::duration<double> wait(missing / rate_);
    if (rate_ <= 0.0 || wanted > burst_ || wait > never) {
        return instant::max();
    }
    return updated_ + std::chrono::ceil<instant::duration>(wait);
}

} // namespace wigeonrill
