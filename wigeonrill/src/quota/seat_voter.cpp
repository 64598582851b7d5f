#include "wigeonrill/quota.h"

#include <algorithm>

namespace wigeonrill::quota {

namespace {

// A process that has just started votes when it has learned of no further node for this long, or at
// the latest after the joining time.
constexpr milliseconds quiet_time{750};
constexpr seconds joining_time{3};
// A node must have been the better choice for this long, and the nodes that change to it do so over
// the spread that follows.
constexpr seconds settling_time{1};
constexpr milliseconds change_spread{6'000};
// Time for which a granter that sent no answer is asked only if the others refuse.
constexpr seconds silence_memory{1};

instant change_time(instant better_since, const node_id& self, seat one) {
    const auto spread =
        stable_hash(self.value, one) % static_cast<std::uint64_t>(change_spread.count());
    return better_since + settling_time + milliseconds(spread);
}

} // namespace

void seat_voter::change_granter(seat_state& state, const node_id& next, instant now) {
    // The first choice of a process needs no delay, because it has voted for no other granter.
    state.votes_from = state.granter.value.empty() ? now : now + withheld_time;
    state.granter = next;
    state.better_since.reset();
}

bool seat_voter::knows_fleet(instant now) const {
    return has_voted_ || now >= changed_at_ + quiet_time || now >= started_ + joining_time;
}

void seat_voter::set_nodes(const node_id& self, const std::vector<node_id>& live,
                           const fleet_size& size, instant now) {
    if (live.empty()) {
        return;
    }
    if (!has_granters_) {
        started_ = now;
    }
    has_granters_ = true;
    size_ = size;
    size_.known = std::max(size.known, live.size());
    std::erase_if(silent_until_, [&](const auto& it) { return now >= it.second; });
    const bool has_changed = live != live_;
    if (has_changed) {
        live_ = live;
        changed_at_ = now;
        alive_ = {live.begin(), live.end()};
        hashes_.clear();
        std::ranges::transform(live, std::back_inserter(hashes_),
                               [](const node_id& it) { return stable_hash(it.value); });
    }
    for (seat one = 0; one < seat_count; ++one) {
        if (has_changed || seats_[one].better_since) {
            update_seat(one, self, live_[choose_granter(one, hashes_)], now);
        }
    }
}

void seat_voter::update_seat(seat one, const node_id& self, const node_id& best, instant now) {
    auto& state = seats_[one];
    if (best == state.granter) {
        state.better_since.reset();
    } else if (!has_voted_) {
        state.granter = best; // no vote was sent yet
    } else if (!alive_.contains(state.granter)) {
        change_granter(state, best, now);
    } else {
        state.better_since = state.better_since.value_or(now);
        if (now >= change_time(*state.better_since, self, one)) {
            change_granter(state, best, now);
        }
    }
}

void seat_voter::on_silence(const node_id& granter, instant now) {
    silent_until_[granter] = now + silence_memory;
}

bool seat_voter::is_silent(seat one, instant now) const {
    const auto it = silent_until_.find(granter_of(one));
    return it != silent_until_.end() && now < it->second;
}

instant seat_voter::lent_until(const workspace_name& workspace) const {
    auto latest = instant::min();
    for (std::size_t i = 0; i < seats_per_workspace; ++i) {
        latest = std::max(latest, seats_.at(seat_of(workspace, i)).lent_until);
    }
    return latest;
}

std::size_t seat_voter::parts() const {
    return has_voted_ ? size_.parts() : size_.assumed();
}

void seat_voter::add_votes(const node_id& granter, credit_ask& into, instant now) {
    // A node that reaches no other one uses its part itself.
    const bool is_alone = live_.size() == 1 && size_.parts() > 1;
    has_voted_ = knows_fleet(now);
    for (seat one = 0; one < seat_count; ++one) {
        auto& state = seats_[one];
        if (state.granter != granter) {
            continue;
        }
        if (has_voted_ && !is_alone && now >= state.votes_from) {
            state.lent_until = now + withheld_time;
            into.votes.push_back(one);
        } else {
            into.withheld.push_back(one);
        }
    }
}

std::set<node_id> seat_voter::granters() const {
    std::set<node_id> all;
    for (const auto& it : seats_) {
        if (!it.granter.value.empty()) {
            all.insert(it.granter);
        }
    }
    return all;
}

} // namespace wigeonrill::quota
