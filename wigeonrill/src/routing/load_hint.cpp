#include "wigeonrill/routing.h"

#include <algorithm>

namespace wigeonrill::routing {

namespace {

// Targets need about this time to finish the requests that wait in them.
constexpr std::chrono::duration<double> hint_lifetime{1.0};

} // namespace

void load_hint::report(std::int32_t load, std::uint32_t slots, instant now) {
    if (load < 0) {
        return;
    }
    load_ = std::min(static_cast<double>(load), 2.0 * static_cast<double>(slots));
    reported_ = now;
}

double load_hint::at(instant now) const {
    if (reported_ == instant::min()) {
        return 0.0;
    }
    const std::chrono::duration<double> age = now - reported_;
    return load_ * std::clamp(1.0 - age / hint_lifetime, 0.0, 1.0);
}

} // namespace wigeonrill::routing
