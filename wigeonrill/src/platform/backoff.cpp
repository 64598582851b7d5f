#include "wigeonrill/platform.h"

#include <algorithm>

namespace wigeonrill::platform {

milliseconds backoff::next_delay(random_source& random) {
    constexpr unsigned max_doublings = 20;
    const auto factor = std::int64_t{1} << std::min(failures_, max_doublings);
    ++failures_;
    const auto limit = std::min(first_ * factor, max_);
    const double share = 0.5 + random.uniform() / 2;
    return milliseconds{static_cast<std::int64_t>(static_cast<double>(limit.count()) * share)};
}

} // namespace wigeonrill::platform
