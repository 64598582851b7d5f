#include "wigeonrill/platform.h"

#include <algorithm>

namespace wigeonrill::platform {

void read_schedule::known_as_of(instant when) {
    if (!known_ || *known_ < when) {
        known_ = when;
        backoff_.reset();
    }
}

void read_schedule::failed(instant now) {
    not_before_ = now + backoff_.failed(*random_);
}

instant read_schedule::next() const {
    if (!known_ || rank_ == 0) {
        return not_before_;
    }
    const auto age = std::min(settings_.takeover + settings_.stagger * static_cast<int>(rank_ - 1),
                              settings_.longest);
    return std::max(*known_ + age, not_before_);
}

milliseconds read_schedule::wait() const {
    // Whoever reads in place of the first node must have its answer at once.
    return rank_ == 0 ? settings_.watch : milliseconds(1);
}

} // namespace wigeonrill::platform
