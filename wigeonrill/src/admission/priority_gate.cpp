#include "wigeonrill/admission.h"

#include <iterator>

namespace wigeonrill::admission {

void priority_gate::on_request(std::uint32_t priority, instant now) {
    last_seen_[priority] = now;
}

void priority_gate::update(double level, instant now) {
    if (!is_due(now)) {
        return;
    }
    next_step_ = now + step_interval;
    level_ = level;
    std::erase_if(last_seen_, [&](const auto& one) { return now - one.second > in_use_for; });
    const auto closable = last_seen_.size() < 2 ? 0 : last_seen_.size() - 1;
    if (level >= closing_level) {
        ++closed_;
        opening_step_ = 1 + closable / max_opening_steps;
    } else if (level < opening_level) {
        closed_ -= std::min(closed_, opening_step_);
    }
    closed_ = std::min(closed_, closable);
}

bool priority_gate::turns_away(std::uint32_t priority) const {
    if (closed_ == 0) {
        return false;
    }
    const auto first_closed = std::prev(last_seen_.end(), static_cast<std::ptrdiff_t>(closed_));
    return priority >= first_closed->first;
}

} // namespace wigeonrill::admission
