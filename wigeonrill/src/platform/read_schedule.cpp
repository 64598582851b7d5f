#include "wigeonrill/platform.h"

#include <algorithm>

namespace wigeonrill::platform {

void read_schedule::mark_up_to_date(instant when) {
    if (!up_to_date_at_ || *up_to_date_at_ < when) {
        up_to_date_at_ = when;
        backoff_.reset();
    }
}

void read_schedule::call_failed(instant now) {
    earliest_call_at_ = now + backoff_.next_delay(*random_);
}

instant read_schedule::next_call_at(instant requested) const {
    if (!up_to_date_at_ || rank_ == 0) {
        return earliest_call_at_;
    }
    const auto age =
        std::min(settings_.takeover_age + settings_.stagger * static_cast<int>(rank_ - 1),
                 settings_.max_age);
    return std::max(std::min(*up_to_date_at_ + age, requested), earliest_call_at_);
}

milliseconds read_schedule::max_wait() const {
    // The data of a node of another rank is old already, so the node needs the answer at once.
    return rank_ == 0 ? settings_.watch_wait : milliseconds(1);
}

} // namespace wigeonrill::platform
