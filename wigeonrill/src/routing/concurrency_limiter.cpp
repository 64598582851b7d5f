#include "wigeonrill/routing.h"

#include <algorithm>

namespace wigeonrill::routing {

namespace {

constexpr milliseconds initial_backoff{20};
constexpr milliseconds max_backoff{640};

} // namespace

concurrency_limiter::concurrency_limiter(std::uint32_t slots) : slots_(std::max(slots, 1U)) {}

void concurrency_limiter::set_slots(std::uint32_t slots) {
    slots_ = std::max(slots, 1U);
    limit_ = std::min(limit_, slots_);
}

void concurrency_limiter::acquire() {
    ++outstanding_;
    limit_reached_ = limit_reached_ || outstanding_ >= limit_;
}

void concurrency_limiter::release() {
    WIGEONRILL_ASSERT(outstanding_ > 0, "release() needs a matching acquire()");
    --outstanding_;
}

void concurrency_limiter::on_answer() {
    backoff_ = milliseconds{0};
    // Answers show that a higher limit is safe only if the current limit was reached.
    if (!limit_reached_ || limit_ >= slots_) {
        return;
    }
    if (++answers_since_change_ >= limit_) {
        ++limit_;
        answers_since_change_ = 0;
        limit_reached_ = false;
    }
}

void concurrency_limiter::on_shed(instant sent, instant now, double jitter) {
    if (sent < last_halved_) {
        return;
    }
    if (limit_ == 1) {
        backoff_ =
            backoff_ == milliseconds{0} ? initial_backoff : std::min(backoff_ * 2, max_backoff);
        const auto spread = std::chrono::duration<double, std::milli>(backoff_) * (0.5 + jitter);
        backoff_until_ = now + std::chrono::duration_cast<instant::duration>(spread);
    }
    limit_ = std::max(limit_ / 2, 1U);
    answers_since_change_ = 0;
    limit_reached_ = outstanding_ >= limit_;
    last_halved_ = now;
}

bool concurrency_limiter::can_acquire(instant now) const {
    return outstanding_ < limit_ && now >= backoff_until_;
}

} // namespace wigeonrill::routing
