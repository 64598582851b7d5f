#include "wigeonrill/peers.h"

#include <cmath>

namespace wigeonrill::peers {

namespace {

// An unlisted dead node is kept for this time, so that messages of its old process are recognized
// as outdated if that process resumes after a long pause.
constexpr std::chrono::minutes dead_member_retention{10};
constexpr milliseconds gossip_round{500};
constexpr int max_random_draws = 16;

// Returns the precedence of a state among records of the same incarnation and epoch; the highest
// wins.
int state_precedence(member_state state) {
    switch (state) {
    case member_state::alive:
    case member_state::one_way:
        return 0;
    case member_state::suspect:
        return 1;
    case member_state::leaving:
        return 2;
    case member_state::dead:
        return 3;
    }
    return 0;
}

bool newer(const member_record& a, const member_record& b) {
    const auto left = std::tie(a.process, a.epoch);
    const auto right = std::tie(b.process, b.epoch);
    return left != right ? left > right : state_precedence(a.state) > state_precedence(b.state);
}

bool older(const member_record& a, const member_record& b) {
    return std::tie(a.process, a.epoch) < std::tie(b.process, b.epoch);
}

bool is_candidate(const member& it, bool responsive) {
    const auto state = it.state();
    if (state == member_state::leaving) {
        return false;
    }
    return responsive == (state == member_state::alive || state == member_state::suspect);
}

} // namespace

member_state member::state() const {
    if (record.state != member_state::alive && record.state != member_state::suspect) {
        return record.state;
    }
    if (listed_as_leaving) {
        return member_state::leaving;
    }
    const bool broken = unreachable || link.outbound_broken();
    return record.state == member_state::alive && broken ? member_state::one_way : record.state;
}

void member_table::set_listed(const std::vector<config::vm_record>& nodes, instant now) {
    for (auto& it : members_) {
        it.listed = false;
        it.listed_as_leaving = false;
    }
    for (const auto& node : nodes) {
        const node_id id{to_string(node.address)};
        if (node.role != config::vm_role::node || id == self_) {
            continue;
        }
        auto* it = find(id);
        if (it == nullptr) {
            it = add({id, node.domain, {}, 0, member_state::alive});
        }
        if (it != nullptr) {
            it->listed = true;
            it->listed_as_leaving = node.state == config::vm_state::leaving;
            if (!node.domain.value.empty()) {
                it->record.domain = node.domain;
            }
        }
    }
    erase_expired(now);
}

member* member_table::add(const member_record& record) {
    if (members_.size() >= max_members) {
        return nullptr;
    }
    index_.emplace(record.id, members_.size());
    members_.emplace_back();
    members_.back().record = record;
    return &members_.back();
}

merge_outcome member_table::merge(const member_record& record, instant now) {
    auto* it = find(record.id);
    if (it == nullptr) {
        const bool gone =
            record.state == member_state::dead || record.state == member_state::leaving;
        it = gone || !parse_endpoint(record.id.value) ? nullptr : add(record);
        if (it == nullptr) {
            return merge_outcome::refused;
        }
        set_state(*it, record.state, now);
        return merge_outcome::changed;
    }
    if (older(record, it->record)) {
        return merge_outcome::older;
    }
    // Messages outside gossip don't name the domain, and builds before the port don't name that.
    if (!record.domain.value.empty()) {
        it->record.domain = record.domain;
    }
    if (record.traffic_port != 0) {
        it->record.traffic_port = record.traffic_port;
    }
    const bool same_process = record.process == it->record.process;
    // Builds that don't know the field drop it from the records that they pass on.
    it->record.checks_keys = record.checks_keys || (same_process && it->record.checks_keys);
    if (!newer(record, it->record)) {
        return merge_outcome::unchanged;
    }
    const bool first = it->record.process == incarnation{} && record.state == member_state::alive;
    if (!same_process) {
        it->link.reset_after_peer_restart();
        it->config_version = 0;
        it->unreachable = false;
    }
    it->record.process = record.process;
    it->record.epoch = record.epoch;
    it->record.cut_off = record.cut_off;
    const bool was_alive = it->record.state == member_state::alive;
    set_state(*it, record.state, now);
    return first && was_alive ? merge_outcome::first : merge_outcome::changed;
}

void member_table::set_state(member& it, member_state state, instant now) const {
    it.record.state = state;
    if (state == member_state::suspect) {
        it.state_deadline = now + suspicion_timeout();
    } else if (state == member_state::dead || state == member_state::leaving) {
        it.state_deadline = now + dead_member_retention;
    }
}

bool member_table::suspect(const node_id& id, instant now) {
    auto* it = find(id);
    if (it == nullptr || it->record.state != member_state::alive || now < it->no_suspicion_before) {
        return false;
    }
    set_state(*it, member_state::suspect, now);
    return true;
}

std::vector<node_id> member_table::expire(instant now) {
    std::vector<node_id> dead;
    for (auto& it : members_) {
        if (it.record.state == member_state::suspect && now >= it.state_deadline) {
            set_state(it, member_state::dead, now);
            dead.push_back(it.record.id);
        }
    }
    erase_expired(now);
    return dead;
}

void member_table::erase_expired(instant now) {
    const auto gone = [&](const member& it) {
        const bool ended =
            it.record.state == member_state::dead || it.record.state == member_state::leaving;
        const bool never_heard = it.record.process == incarnation{};
        return !it.listed && (ended ? now >= it.state_deadline : never_heard);
    };
    if (std::erase_if(members_, gone) > 0) {
        index_.clear();
        for (std::size_t i = 0; i < members_.size(); ++i) {
            index_.emplace(members_[i].record.id, i);
        }
    }
}

void member_table::shift_timers(instant::duration pause) {
    for (auto& it : members_) {
        it.state_deadline += pause;
        it.no_suspicion_before += pause;
        it.link.shift_timers(pause);
    }
}

member* member_table::find(const node_id& id) {
    const auto it = index_.find(id);
    return it == index_.end() ? nullptr : &members_[it->second];
}

const member* member_table::find(const node_id& id) const {
    const auto it = index_.find(id);
    return it == index_.end() ? nullptr : &members_[it->second];
}

std::optional<node_id> member_table::choose(random_source& random, bool responsive,
                                            const std::set<node_id>& except) const {
    if (members_.empty()) {
        return std::nullopt;
    }
    const auto eligible = [&](const member& it) {
        return is_candidate(it, responsive) && !except.contains(it.record.id);
    };
    if (responsive) {
        // Most members are responsive, so a few random draws usually find one without a full scan.
        for (int i = 0; i < max_random_draws; ++i) {
            const auto& it = members_[random.next_below(members_.size())];
            if (eligible(it)) {
                return it.record.id;
            }
        }
    }
    std::vector<const member*> candidates;
    for (const auto& it : members_) {
        if (eligible(it)) {
            candidates.push_back(&it);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[random.next_below(candidates.size())]->record.id;
}

milliseconds member_table::suspicion_timeout() const {
    const auto rounds = std::log2(static_cast<double>(members_.size() + 2)) + 2;
    return milliseconds(static_cast<std::int64_t>(2 * rounds * gossip_round.count()));
}

} // namespace wigeonrill::peers
