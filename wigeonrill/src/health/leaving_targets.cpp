#include "wigeonrill/health.h"

#include <algorithm>

namespace wigeonrill::health {

namespace {

// Limits the memory that a faulty peer can use.
constexpr std::size_t max_targets = 8'192;

} // namespace

bool leaving_targets::add(const target_id& target, const leaving_notice& notice, instant now) {
    const auto it = targets_.find(target);
    if (it == targets_.end()) {
        make_room(now);
        targets_.emplace(target, entry{notice, now + lifetime});
        return true;
    }
    auto& known = it->second;
    const auto key = std::tie(notice.about.started_ms, notice.order);
    const auto known_key = std::tie(known.notice.about.started_ms, known.notice.order);
    if (key < known_key) {
        return false;
    }
    const bool is_news = known_key < key || known.until <= now;
    known = {notice, now + lifetime};
    return is_news;
}

bool leaving_targets::contains(const target_id& target, const config::registration& registered,
                               instant now) const {
    const auto it = targets_.find(target);
    if (it == targets_.end() || it->second.until <= now || !it->second.notice.leaves) {
        return false;
    }
    const auto& about = it->second.notice.about;
    const bool is_known = about.started_ms != 0 && registered.started_ms != 0;
    return !is_known || registered <= about;
}

void leaving_targets::forget_removed_registrations() {
    std::erase_if(targets_, [](const auto& one) {
        return one.second.notice.about.created != any_registration;
    });
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
