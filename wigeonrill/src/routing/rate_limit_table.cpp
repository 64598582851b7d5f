#include "wigeonrill/routing.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace wigeonrill::routing {

namespace {

constexpr std::size_t min_senders = 2;
// With one more node for each half of a request per second, the burst of all of them stays in
// proportion to the limit.
constexpr double senders_per_rate = 2.0;
// Requests per second to a target whose limit is lower, or 0: only its answers tell the end of a
// limit.
constexpr double min_rate = 0.1;
// Part of a limit that all nodes share which hear of no statement. Those that were chosen to send,
// and hear their own answers, may use the whole limit besides.
constexpr double unconfirmed_part = 0.5;
// Rate from which on the number of senders no longer matters.
constexpr double max_rate = 1e6;

// Bucket for a share: a request, or what the share allows in a second.
double burst_of(double share) {
    return std::max(1.0, share);
}

} // namespace

std::size_t max_rate_limit_senders(double per_second) {
    const auto rate = std::clamp(per_second, 0.0, max_rate);
    return min_senders + static_cast<std::size_t>(std::floor(rate * senders_per_rate));
}

void rate_limit_table::set_nodes(node_id self, const std::vector<node_id>& others, instant now) {
    self_ = std::move(self);
    other_hashes_.clear();
    for (const auto& it : others) {
        other_hashes_.push_back(stable_hash(it.value));
    }
    for (auto& [target, it] : entries_) {
        update_share(it, now);
    }
}

void rate_limit_table::update_share(entry& it, instant now) const {
    it.share = compute_share(it.notice, it.is_unconfirmed);
    it.allowance.set_rate(it.share, burst_of(it.share), now);
}

double rate_limit_table::compute_share(const health::rate_limit& notice,
                                       bool is_unconfirmed) const {
    if (!notice.per_second) {
        return 0.0;
    }
    const auto rate = std::max(*notice.per_second, min_rate);
    const auto nodes = other_hashes_.size() + 1;
    if (is_unconfirmed) {
        return rate * unconfirmed_part / static_cast<double>(nodes);
    }
    const auto key = stable_hash(notice.target.value);
    const auto own_score = rendezvous_score(key, stable_hash(self_.value));
    const auto rank = static_cast<std::size_t>(
        std::ranges::count_if(other_hashes_, [key, own_score](std::uint64_t other) {
            return rendezvous_score(key, other) > own_score;
        }));
    const auto senders = std::min(max_rate_limit_senders(*notice.per_second), nodes);
    return rank < senders ? rate / static_cast<double>(senders) : 0.0;
}

// The first request is allowed after a random part of the interval between two, so that all senders
// don't use their burst at once.
void rate_limit_table::store(health::rate_limit notice, instant now) {
    const auto known = entries_.find(notice.target);
    const bool was_limited = known != entries_.end() && known->second.notice.per_second;
    const auto allowance =
        was_limited ? known->second.allowance : token_bucket(0.0, 1.0, now, random_->uniform());
    const auto target = notice.target;
    entry next{std::move(notice), now, false, 0.0, allowance};
    update_share(next, now);
    entries_.insert_or_assign(target, std::move(next));
}

std::optional<health::rate_limit> rate_limit_table::on_answer(const health::answer& answer,
                                                              wall_time wall) {
    const auto& stated = answer.rate_limit.per_second;
    const auto now = answer.ended;
    const auto known = entries_.find(answer.target);
    const bool is_known = known != entries_.end();
    if (!stated) {
        // Only a success to a request that was sent after the limit was known shows that it ended.
        const bool ended =
            is_known && known->second.notice.per_second && !answer.rate_limit.is_unreadable &&
            answer.kind == health::answer_kind::ok && answer.sent >= known->second.stated;
        if (!ended) {
            return std::nullopt;
        }
    } else if (is_known && known->second.notice.per_second == stated &&
               known->second.notice.expires - now > lifetime / 2) {
        return std::nullopt;
    }
    health::rate_limit notice;
    notice.service = answer.service;
    notice.target = answer.target;
    notice.per_second = stated;
    notice.sequence = static_cast<std::uint64_t>(wall.time_since_epoch() / milliseconds(1));
    if (known != entries_.end()) {
        notice.sequence = std::max(notice.sequence, known->second.notice.sequence + 1);
    }
    notice.expires = now + lifetime;
    store(notice, now);
    return notice;
}

bool rate_limit_table::on_notice(const health::rate_limit& notice, instant now) {
    const auto known = entries_.find(notice.target);
    if (notice.expires <= now ||
        (known != entries_.end() && !health::supersedes(notice, known->second.notice))) {
        return false;
    }
    store(notice, now);
    return true;
}

void rate_limit_table::expire(instant now) {
    std::erase_if(entries_, [now](const auto& it) {
        const auto& one = it.second;
        return one.notice.expires <= now && (!one.notice.per_second || now - one.stated >= memory);
    });
    for (auto& [target, it] : entries_) {
        if (it.notice.expires <= now && !std::exchange(it.is_unconfirmed, true)) {
            update_share(it, now);
        }
    }
}

const rate_limit_table::entry* rate_limit_table::find_limited(const target_id& target) const {
    const auto it = entries_.find(target);
    return it == entries_.end() || !it->second.notice.per_second ? nullptr : &it->second;
}

rate_limit_table::entry* rate_limit_table::find_limited(const target_id& target) {
    const auto it = entries_.find(target);
    return it == entries_.end() || !it->second.notice.per_second ? nullptr : &it->second;
}

bool rate_limit_table::is_limited(const target_id& target) const {
    return find_limited(target) != nullptr;
}

bool rate_limit_table::can_send(const target_id& target, instant now) {
    return next_send_at(target, now) <= now;
}

void rate_limit_table::on_send(const target_id& target, instant now) {
    if (auto* it = find_limited(target)) {
        it->allowance.refill(now);
        it->allowance.charge(1);
    }
}

instant rate_limit_table::next_send_at(const target_id& target, instant now) {
    auto* it = find_limited(target);
    if (it == nullptr) {
        return now;
    }
    if (it->share <= 0.0) {
        return instant::max();
    }
    it->allowance.refill(now);
    return it->allowance.time_of_level(1.0);
}

double rate_limit_table::share_of(const target_id& target) const {
    if (const auto* it = find_limited(target)) {
        return it->share;
    }
    return std::numeric_limits<double>::infinity();
}

} // namespace wigeonrill::routing
