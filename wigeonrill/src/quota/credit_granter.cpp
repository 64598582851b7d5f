#include "wigeonrill/quota.h"

#include <algorithm>
#include <cmath>

namespace wigeonrill::quota {

namespace {

// A workspace whose burst is small may still have this many requests at each granter, since whole
// requests are granted and votes may be missing.
constexpr double min_depth = 2.0;
// Share of the burst that a granter may grant when it begins. The granter before it may just have
// granted all.
constexpr double initial_share = 0.4;
// Largest time whose requests it may grant at once then, for bursts well above the rate.
constexpr seconds max_initial_time{2};
// Sums of fractions are rounded.
constexpr double rounding = 1e-9;

// A process that has just started may know few nodes of its fleet.
constexpr seconds joining_time{1};
// Time for which a number of nodes that a voter reported is believed.
constexpr seconds report_lifetime{10};

constexpr seconds account_lifetime{60};
constexpr seconds removal_interval{5};

constexpr milliseconds min_retry_after{50};
constexpr seconds max_retry_after{5};

double seconds_between(instant from, instant to) {
    return std::max(std::chrono::duration<double>(to - from).count(), 0.0);
}

} // namespace

void credit_granter::set_fleet_size(const fleet_size& size, instant now) {
    if (started_ == instant::min()) {
        started_ = now;
    }
    size_ = size;
}

void credit_granter::on_pause(instant now) {
    constexpr milliseconds drain_time{500}; // in which messages from before the pause are read
    counts_votes_from_ = now + drain_time;
    for (auto& it : seats_) {
        it.votes.clear();
        it.votes_at_since = 0;
    }
}

double credit_granter::share_of(seat one, instant now) {
    auto& state = seats_.at(one);
    if (now != state.counted_at) {
        state.counted_at = now;
        std::erase_if(state.votes, [&](const auto& it) { return now >= it.second; });
    }
    auto nodes = static_cast<double>(size_.parts());
    if (now < reported_at_ + report_lifetime) {
        nodes = std::max(nodes, reported_nodes_);
    }
    if (nodes > 1.0 && now < started_ + joining_time) {
        nodes = std::max(nodes, static_cast<double>(size_.assumed()));
    }
    return std::min(static_cast<double>(state.votes.size()) / nodes, 1.0);
}

void credit_granter::count_votes(const node_id& from, const credit_ask& ask, instant now) {
    const auto reported = static_cast<double>(ask.known_nodes);
    if (reported >= reported_nodes_ || now >= reported_at_ + report_lifetime) {
        reported_nodes_ = reported;
        reported_at_ = now;
    }
    if (now < counts_votes_from_) {
        return;
    }
    for (const auto it : ask.withheld) {
        if (it < seat_count) {
            seats_[it].votes.erase(from);
        }
    }
    for (const auto it : ask.votes) {
        if (it >= seat_count) {
            continue;
        }
        auto& state = seats_[it];
        std::erase_if(state.votes, [&](const auto& vote) { return now >= vote.second; });
        state.votes[from] = now + vote_lifetime;
        if (state.votes.size() == 1 || state.votes.size() > 2 * state.votes_at_since) {
            state.since = now;
            state.votes_at_since = state.votes.size();
        }
    }
}

// The rate may have changed since the last call at any time, so the lower one counts.
credit_granter::account& credit_granter::refill(seat one, const config::workspace& limited,
                                                instant now) {
    constexpr auto parts = static_cast<double>(seats_per_workspace);
    const double share = (1.0 + spare_share) * share_of(one, now);
    const double rate = share * limited.requests_per_second / parts;
    const double depth = share * std::max(burst_of(limited) / parts, min_depth);
    const auto [it, is_new] = accounts_.try_emplace({one, limited.name.value});
    auto& known = it->second;
    if (is_new) {
        const auto initial_time = std::chrono::duration<double>(max_initial_time).count();
        known.level = std::min(initial_share * depth, std::max(rate * initial_time, 1.0)) +
                      rate * seconds_between(seats_[one].since, now);
    } else {
        const auto elapsed = seconds_between(known.updated, now);
        known.level += elapsed * std::min(known.rate, rate);
        known.promised = std::max(known.promised - elapsed * rate, 0.0);
    }
    known.level = std::min(known.level, depth);
    known.depth = depth;
    known.rate = rate;
    known.updated = now;
    return known;
}

credit_answer credit_granter::answer(const credit_request& asked,
                                     const config::workspace_directory& workspaces, instant now) {
    credit_answer found;
    found.number = asked.number;
    const auto* limited = workspaces.find(asked.workspace.value);
    if (limited == nullptr || limited->requests_per_second <= 0.0) {
        // Another version is in force at the node that asks; it goes on to the next granter.
        found.retry_after = min_retry_after;
        return found;
    }
    auto& known = refill(asked.of, *limited, now);
    known.level += asked.returned; // refill() keeps it below the depth
    const auto available = static_cast<std::uint32_t>(std::max(known.level + rounding, 0.0));
    found.granted = std::min(asked.wanted, available);
    known.level -= found.granted;
    const auto refused = asked.wanted - found.granted;
    if (refused > 0) {
        const double missing = std::max(1.0 - known.level, 0.0) + known.promised;
        // What this node may not grant for lack of votes, other granters may.
        constexpr double least_share = 0.5;
        const double least_rate =
            least_share * limited->requests_per_second / static_cast<double>(seats_per_workspace);
        const auto wait = std::chrono::duration<double>(missing / std::max(known.rate, least_rate));
        const std::chrono::duration<double> longest = max_retry_after;
        found.retry_after =
            std::max(std::chrono::ceil<milliseconds>(std::min(wait, longest)), min_retry_after);
        known.promised = std::min(known.promised + refused, known.rate * longest.count());
    }
    return found;
}

void credit_granter::remove_idle_accounts(instant now) {
    if (now >= next_removal_) {
        next_removal_ = now + removal_interval;
        std::erase_if(accounts_, [&](const auto& it) {
            const auto& known = it.second;
            const double idle = seconds_between(known.updated, now);
            return now >= known.updated + account_lifetime &&
                   known.level + idle * known.rate >= known.depth;
        });
    }
}

credit_grant credit_granter::on_ask(const node_id& from, const credit_ask& ask,
                                    const config::workspace_directory& workspaces, instant now) {
    count_votes(from, ask, now);
    remove_idle_accounts(now);
    credit_grant grant;
    for (const auto& it : ask.requests) {
        if (it.of >= seat_count) {
            continue;
        }
        const auto found = answer(it, workspaces, now);
        if (it.wanted > 0) { // otherwise it only returned credit
            grant.answers.push_back(found);
        }
    }
    return grant;
}

} // namespace wigeonrill::quota
