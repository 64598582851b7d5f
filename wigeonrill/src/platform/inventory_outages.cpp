#include "wigeonrill/platform.h"

#include <algorithm>

// Members of inventory that handle outages of the store, and its return from an older copy.

namespace wigeonrill::platform {

namespace {

// Longer than a store may have lost when it comes back from an older copy.
constexpr std::chrono::minutes removal_memory{10};

} // namespace

void inventory::record_era(std::uint64_t era, instant when) {
    const auto known = std::exchange(latest_era_, std::max(latest_era_, era));
    if (known == 0 || era <= known) {
        return;
    }
    notes_.push_back({true, "The store came back from an older copy.", "",
                      "era " + std::to_string(era) + ", before " + std::to_string(known), as_of_});
    in_outage_ = false;
    outage_ended_at_ = when;
    restored_at_ = when;
}

void inventory::record_read_failure(instant last_read_at, instant now) {
    if (in_outage_ || now - last_read_at < options_.outage_time) {
        return;
    }
    in_outage_ = true;
    last_answer_before_outage_ = last_read_at;
    const auto age = std::chrono::duration_cast<milliseconds>(now - last_read_at);
    notes_.push_back({true, "The store answers no node; lapsed targets are kept.", "",
                      "last answer " + std::to_string(age.count()) + " ms ago", as_of_});
}

void inventory::record_answer_to_peer(instant when) {
    if (when > last_answer_before_outage_) {
        end_outage(when);
    }
}

void inventory::end_outage(instant when) {
    if (std::exchange(in_outage_, false)) {
        outage_ended_at_ = when;
        notes_.push_back({false, "The store answers again.", "", "", as_of_});
    }
}

bool inventory::has_lapsed_targets() const {
    return std::ranges::any_of(targets_,
                               [](const auto& it) { return it.second.lapsed_at.has_value(); });
}

bool inventory::has_unconfirmed_targets() const {
    return std::ranges::any_of(targets_, [](const auto& it) { return it.second.is_unconfirmed; });
}

bool inventory::in_return_window(instant now) const {
    return in_outage_ || (outage_ended_at_ && now - *outage_ended_at_ < options_.return_time);
}

std::optional<instant> inventory::next_expiry() const {
    std::optional<instant> next;
    if (has_lapsed_targets() && outage_ended_at_) {
        next = *outage_ended_at_ + options_.return_time;
    }
    if (has_unconfirmed_targets() && restored_at_) {
        const auto confirmed = *restored_at_ + options_.registration_time;
        next = std::min(next.value_or(confirmed), confirmed);
    }
    return next;
}

void inventory::expire(instant now) {
    confirm_remaining(now);
    if (in_return_window(now)) {
        return;
    }
    std::erase_if(removed_,
                  [now](const auto& it) { return now - it.second.removed_at >= removal_memory; });
    const auto n = std::erase_if(targets_, [this, now](const auto& it) {
        if (it.second.lapsed_at) {
            record_removal(it.first, it.second, now);
            add_withdrawn_target(it.second.content, target_change::gone, as_of_);
            add_note("Target did not come back after the outage.", it.second, it.first, 0);
        }
        return it.second.lapsed_at.has_value();
    });
    changed_since_build_ = changed_since_build_ || n > 0;
}

// Targets whose removal this node has read are left to is_from_before_removal(), which can tell
// whether they were written again.
std::vector<std::string> inventory::find_unconfirmed(const feed_page& all, instant now) const {
    std::vector<std::string> found;
    if (!configuration_in_force_ || !restored_at_ ||
        now - *restored_at_ >= options_.registration_time) {
        return found;
    }
    for (const auto& it : all.records) {
        const auto* target = std::get_if<target_registration>(&it.content);
        if (target != nullptr && !target->leaving && !is_in_force(*target) &&
            !removed_.contains(it.key)) {
            found.push_back(it.key);
        }
    }
    return found;
}

void inventory::confirm_remaining(instant now) {
    if (!restored_at_ || now - *restored_at_ < options_.registration_time) {
        return;
    }
    for (auto& [key, it] : targets_) {
        if (std::exchange(it.is_unconfirmed, false)) {
            add_note("Target is used, the restored store still shows it.", it, key, it.revision);
            changed_since_build_ = true;
        }
    }
}

void inventory::record_removal(const std::string& key, const known_target& target, instant now) {
    removed_[key] = {target.revision, target.content.started_ms, target.content.heartbeat, now};
}

// A registration that was only written again has the same heartbeat, but another revision.
bool inventory::is_from_before_removal(const std::string& key, std::uint64_t revision,
                                       const target_registration& content) const {
    const auto it = removed_.find(key);
    if (it == removed_.end()) {
        return false;
    }
    const auto& last = it->second;
    const auto written = std::tie(content.started_ms, content.heartbeat);
    const auto last_written = std::tie(last.started_ms, last.heartbeat);
    return written < last_written || (written == last_written && revision == last.revision);
}

} // namespace wigeonrill::platform
