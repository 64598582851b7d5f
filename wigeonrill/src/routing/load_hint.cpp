#include "wigeonrill/routing.h"

#include <algorithm>

namespace wigeonrill::routing {

namespace {

constexpr seconds hint_lifetime{2};

} // namespace

void load_hint::report(std::int32_t load, std::uint32_t slots, instant now) {
    if (load < 0) {
        return;
    }
    load_ = std::min(static_cast<double>(load), 2.0 * static_cast<double>(slots));
    reported_ = now;
}

double load_hint::at(instant now) const {
    return reported_ != instant::min() && now - reported_ <= hint_lifetime ? load_ : 0.0;
}

} // namespace wigeonrill::routing
