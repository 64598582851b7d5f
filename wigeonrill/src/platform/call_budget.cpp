#include "wigeonrill/platform.h"

#include <algorithm>

namespace wigeonrill::platform {

double call_budget::tokens_at(instant now) const {
    if (!updated_ || now <= *updated_) {
        return tokens_;
    }
    const std::chrono::duration<double> passed = now - *updated_;
    return std::min(burst_, tokens_ + rate_ * passed.count());
}

instant call_budget::available_at(instant now) const {
    const double lacking = 1.0 - tokens_at(now);
    if (lacking <= 0.0) {
        return now;
    }
    const std::chrono::duration<double> delay{lacking / rate_};
    // Adds a millisecond: if rounding made the delay too short, the caller would ask in a loop.
    return now + std::chrono::ceil<milliseconds>(delay) + milliseconds{1};
}

void call_budget::take(instant now) {
    tokens_ = tokens_at(now) - 1.0;
    updated_ = now;
}

} // namespace wigeonrill::platform
