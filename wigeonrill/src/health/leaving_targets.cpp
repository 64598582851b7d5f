#include "wigeonrill/health.h"

#include <algorithm>

namespace wigeonrill::health {

namespace {

// Limits the memory that a faulty peer can use.
constexpr std::size_t max_targets = 8'192;

} // namespace

bool leaving_targets::add(const target_id& target, const config::registration& about, instant now) {
    const auto it = targets_.find(target);
    if (it != targets_.end()) {
        const bool is_news = it->second.about < about || it->second.until <= now;
        it->second.about = std::max(it->second.about, about);
        it->second.until = now + lifetime;
        return is_news;
    }
    make_room(now);
    targets_.emplace(target, entry{about, now + lifetime});
    return true;
}

bool leaving_targets::contains(const target_id& target, const config::registration& registered,
                               instant now) const {
    const auto it = targets_.find(target);
    if (it == targets_.end() || it->second.until <= now) {
        return false;
    }
    const auto& about = it->second.about;
    const bool is_known = about.started_ms != 0 && registered.started_ms != 0;
    return !is_known || registered <= about;
}

void leaving_targets::forget_removed_registrations() {
    std::erase_if(targets_,
                  [](const auto& one) { return one.second.about.created != any_registration; });
}

void leaving_targets::make_room(instant now) {
    if (targets_.size() < max_targets) {
        return;
    }
    std::erase_if(targets_, [now](const auto& one) { return one.second.until <= now; });
    if (targets_.size() >= max_targets) {
        targets_.erase(std::ranges::min_element(targets_, {},
                                                [](const auto& one) { return one.second.until; }));
    }
}

} // namespace wigeonrill::health
