#include "wigeonrill/admission.h"

#include <algorithm>

namespace wigeonrill::admission {

void retry_budget::refill(instant now) {
    if (last_refill_ && now > *last_refill_) {
        const auto elapsed = std::chrono::duration<double>(now - *last_refill_).count();
        balance_ = std::min(cap_, balance_ + elapsed * constant_rate_);
    }
    last_refill_ = now;
}

void retry_budget::on_request(instant now) {
    refill(now);
    balance_ = std::min(cap_, balance_ + fraction_);
}

bool retry_budget::available(instant now) {
    refill(now);
    return balance_ >= 1.0;
}

bool retry_budget::take(instant now) {
    if (!available(now)) {
        return false;
    }
    balance_ -= 1.0;
    return true;
}

} // namespace wigeonrill::admission
