#include "wigeonrill/routing.h"

#include <algorithm>

namespace wigeonrill::routing {

namespace {

constexpr milliseconds first_hold{20};
constexpr milliseconds longest_hold{640};

} // namespace

concurrency_limiter::concurrency_limiter(std::uint32_t slots) : slots_(std::max(slots, 1U)) {}

void concurrency_limiter::set_slots(std::uint32_t slots) {
    slots_ = std::max(slots, 1U);
    limit_ = std::min(limit_, slots_);
}

void concurrency_limiter::acquire() {
    ++outstanding_;
    filled_ = filled_ || outstanding_ >= limit_;
}

void concurrency_limiter::release() {
    WIGEONRILL_ASSERT(outstanding_ > 0, "release needs an acquired place");
    --outstanding_;
}

void concurrency_limiter::on_answer() {
    hold_ = milliseconds{0};
    // A limit that was never reached says nothing about a higher one.
    if (!filled_ || limit_ >= slots_) {
        return;
    }
    if (++answered_ >= limit_) {
        ++limit_;
        answered_ = 0;
        filled_ = false;
    }
}

void concurrency_limiter::on_shed(instant sent, instant now, double jitter) {
    if (sent < halved_) {
        return;
    }
    if (limit_ == 1) {
        hold_ = hold_ == milliseconds{0} ? first_hold : std::min(hold_ * 2, longest_hold);
        const auto spread = std::chrono::duration<double, std::milli>(hold_) * (0.5 + jitter);
        held_until_ = now + std::chrono::duration_cast<instant::duration>(spread);
    }
    limit_ = std::max(limit_ / 2, 1U);
    answered_ = 0;
    filled_ = outstanding_ >= limit_;
    halved_ = now;
}

bool concurrency_limiter::has_place(instant now) const {
    return outstanding_ < limit_ && now >= held_until_;
}

} // namespace wigeonrill::routing
