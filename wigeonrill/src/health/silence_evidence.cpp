#include "wigeonrill/health.h"

#include <algorithm>

namespace wigeonrill::health {

namespace {

// Connections are watched for 15 s after their attempts were given up.
constexpr seconds time_lifetime{25};
constexpr milliseconds time_distance{50};
// An answer may have been on its way when its target crashed. Another node's observation takes
// longer.
constexpr milliseconds answer_travel_time{100};
constexpr milliseconds observation_travel_time{300};

} // namespace

void silence_evidence::add(times& all, instant when) {
    while (!all.empty() && when - all.front() > time_lifetime) {
        all.pop_front();
    }
    if (all.empty() || when - all.back() >= time_distance) {
        all.push_back(when);
    }
}

void silence_evidence::forget_old(instant now) {
    if (now < next_forgetting_) {
        return;
    }
    next_forgetting_ = now + time_lifetime;
    const auto is_old = [&](const times& all) {
        return all.empty() || now - all.back() > time_lifetime;
    };
    std::erase_if(targets_,
                  [&](const auto& it) { return is_old(it.second.own) && is_old(it.second.peers); });
}

void silence_evidence::on_answer(const target_id& target, instant when) {
    forget_old(when);
    add(targets_[target].own, when);
}

void silence_evidence::on_peer_success(const target_id& target, instant when) {
    forget_old(when);
    add(targets_[target].peers, when);
}

bool silence_evidence::has_any(const times& all, instant after, instant until) {
    const auto it = std::ranges::upper_bound(all, after);
    return it != all.end() && *it <= until;
}

bool silence_evidence::shows_crash(const target_id& target, instant from, instant until) const {
    const auto known = targets_.find(target);
    if (known != targets_.end() &&
        (has_any(known->second.own, from + answer_travel_time, until) ||
         has_any(known->second.peers, from + observation_travel_time, until))) {
        return false;
    }
    return std::ranges::any_of(targets_, [&](const auto& it) {
        return it.first != target && has_any(it.second.own, from, until);
    });
}

} // namespace wigeonrill::health
