#include "wigeonrill/admission.h"

#include <algorithm>

namespace wigeonrill::admission {

void request_budget::refill(instant now) {
    if (refilled_ && now > *refilled_) {
        const auto elapsed = std::chrono::duration<double>(now - *refilled_).count();
        balance_ = std::min(cap_, balance_ + elapsed * constant_rate_);
    }
    refilled_ = now;
}

void request_budget::on_request(instant now) {
    refill(now);
    balance_ = std::min(cap_, balance_ + fraction_);
}

bool request_budget::available(instant now) {
    refill(now);
    return balance_ >= 1.0;
}

bool request_budget::take(instant now) {
    if (!available(now)) {
        return false;
    }
    balance_ -= 1.0;
    return true;
}

} // namespace wigeonrill::admission
