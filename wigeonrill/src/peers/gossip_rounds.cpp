#include "wigeonrill/peers.h"

#include <cmath>

namespace wigeonrill::peers {

namespace {

// A round trip takes up to some 200 ms between regions.
constexpr milliseconds probe_timeout{250};
constexpr std::uint32_t min_attempts = 3;
constexpr std::uint32_t max_attempts = 16;
// Chance of a wrong suspicion per probe; each costs the fleet two rumours.
constexpr double wrong_suspicion = 1e-4;
// Adapts within 2 s of probes, before a sudden loss leads to many wrong suspicions.
constexpr double average_weight = 0.2;
// One of so many rounds also tries a peer that doesn't respond, so that a healed partition is
// noticed: 36 nodes do this 7 times a second together.
constexpr std::uint64_t rounds_per_retry = 10;
// A peer that contradicted our suspicion but still doesn't answer us is not accused again so soon.
constexpr seconds quiet_time{60};

} // namespace

void gossip_node::tick() {
    const auto now = clock_.now();
    excuse_pause(now);
    bucket_.refill(now);
    digest_.expire(now, clock_.wall_now());
    for (const auto& id : members_.expire(now)) {
        digest_.settle(id);
    }
    retry_probes(now);
    if (now >= next_gossip_) {
        next_gossip_ = std::max(next_gossip_ + gossip_interval, now);
        gossip(now);
    }
    pass_on(now);
    flush_evidence(now);
}

void gossip_node::excuse_pause(instant now) {
    const auto last = std::exchange(last_tick_, now);
    if (!last) {
        return;
    }
    const auto late = now - *last - tick_interval;
    if (late <= pause_threshold) {
        return;
    }
    ++pauses_;
    members_.excuse(late);
    for (auto& [id, it] : probes_) {
        it.started += late;
        it.due += late;
    }
}

void gossip_node::gossip(instant now) {
    ++gossip_rounds_;
    if (const auto peer = members_.choose(random_, true, {})) {
        start_probe(*peer, now);
    }
    if (gossip_rounds_ % rounds_per_retry == 0) {
        if (const auto peer = members_.choose(random_, false, {})) {
            send_gossip(*peer, message_kind::gossip_request, now);
        }
    }
}

void gossip_node::start_probe(const node_id& peer, instant now) {
    send_gossip(peer, message_kind::gossip_request, now);
    const auto sequence = members_.find(peer)->link.last_sent();
    probes_.try_emplace(peer, probe{sequence, now, now + probe_timeout, 1});
}

void gossip_node::retry_probes(instant now) {
    std::vector<std::pair<node_id, probe>> failed;
    for (auto it = probes_.begin(); it != probes_.end();) {
        auto& [id, open] = *it;
        if (now < open.due) {
            ++it;
            continue;
        }
        if (open.attempts == 1) {
            probe_failure_share_ += average_weight * (1.0 - probe_failure_share_);
        }
        if (open.attempts >= attempts_allowed()) {
            failed.emplace_back(id, open);
            it = probes_.erase(it);
            continue;
        }
        ++open.attempts;
        open.due = now + probe_timeout;
        send_gossip(id, message_kind::gossip_request, now);
        ++it;
    }
    for (const auto& [id, open] : failed) {
        give_up(id, open, now);
    }
}

std::uint32_t gossip_node::attempts_allowed() const {
    if (probe_failure_share_ < 0.01) {
        return min_attempts;
    }
    if (probe_failure_share_ > 0.99) {
        return max_attempts;
    }
    const auto needed = std::ceil(std::log(wrong_suspicion) / std::log(probe_failure_share_));
    return std::clamp(static_cast<std::uint32_t>(needed), min_attempts, max_attempts);
}

void gossip_node::give_up(const node_id& peer, const probe& failed, instant now) {
    auto* it = members_.find(peer);
    if (it == nullptr) {
        return;
    }
    it->unreachable = true;
    // A peer that we hear is alive; only our way to it is broken.
    const bool heard = it->heard && *it->heard >= failed.started;
    if (!heard && members_.suspect(peer, now)) {
        it->quiet_until = now + quiet_time;
        digest_.refresh(peer);
        urgent_news_ = true;
    }
}

void gossip_node::receive(const node_id& from, const message& content, std::size_t bytes) {
    const auto now = clock_.now();
    ++counters_.datagrams_received;
    counters_.bytes_received += bytes + datagram_overhead_bytes;
    if (!accept_header(from, content, now)) {
        return;
    }
    auto* sender = members_.find(from);
    sender->heard = now;
    const auto echoed_before = sender->link.last_echo();
    sender->link.note_echo(content.echo, now);
    const auto open = probes_.find(from);
    if (open != probes_.end() && sender->link.last_echo() >= open->second.sequence) {
        if (open->second.attempts == 1) {
            probe_failure_share_ -= average_weight * probe_failure_share_;
        }
        probes_.erase(open);
    }
    if (sender->link.last_echo() > echoed_before) {
        sender->unreachable = false;
    }
    learn_config(*sender, content);
    learn_items(*sender, content, now);
    learn_members(content, now);
    bucket_.refill(now);
    if (content.kind == message_kind::gossip_request) {
        reply(from, now);
    }
    pass_on(now);
}

bool gossip_node::accept_header(const node_id& from, const message& content, instant now) {
    auto* sender = members_.find(from);
    const member_record record{from, content.domain, content.process, content.epoch,
                               content.leaving ? member_state::leaving : member_state::alive};
    if (sender == nullptr && settings_.admits_unlisted) {
        note_merge(from, members_.merge(record, now), now);
        sender = members_.find(from);
    }
    if (sender == nullptr) {
        counters_.drop(drop_reason::unknown_sender);
        return false;
    }
    if (content.process < sender->record.process) {
        counters_.drop(drop_reason::stale_process);
        if (content.kind == message_kind::gossip_request) {
            reply(from, now, true);
        }
        return false;
    }
    note_merge(from, members_.merge(record, now), now);
    sender = members_.find(from);
    if (sender == nullptr || !sender->link.accept(content.sequence)) {
        counters_.drop(drop_reason::duplicate);
        return false;
    }
    return true;
}

void gossip_node::note_merge(const node_id& id, merge_outcome outcome, instant now) {
    if (outcome == merge_outcome::changed) {
        digest_.refresh(id);
        urgent_news_ = true;
        probe_if_back(id, now);
    } else if (outcome == merge_outcome::first) {
        digest_.settle(id);
    }
}

// A peer that contradicted a suspicion is tried at once: either our link to it works again, or only
// our link is broken.
void gossip_node::probe_if_back(const node_id& id, instant now) {
    const auto* it = members_.find(id);
    const bool back = it != nullptr && it->unreachable && it->record.state == member_state::alive;
    if (back && !probes_.contains(id)) {
        start_probe(id, now);
    }
}

void gossip_node::learn_config(member& sender, const message& content) {
    sender.config_version = std::max(sender.config_version, content.config_version);
    fetches_.heard(sender.record.id, content.config_version, clock_.now());
    if (content.config_version != config_version_ || content.config_digest == 0) {
        return;
    }
    if (content.config_digest != config_digest_) {
        ++digest_conflicts_;
    } else if (content.confirmed) {
        confirm(*content.confirmed);
    }
}

void gossip_node::learn_items(const member& sender, const message& content, instant now) {
    for (auto it : content.evidence) {
        it.reporter = sender.record.id;
        it.reporter_domain = sender.record.domain;
        inbox_.evidence.push_back(std::move(it));
    }
    // Callers send crashing requests again at once, and leaving targets must get no work after a
    // few seconds, so neither waits for the next round.
    bool urgent = false;
    for (const auto& it : content.verdicts) {
        const bool direct = content.kind == message_kind::verdict;
        const bool known =
            it.judge == sender.record.id || (!direct && members_.find(it.judge) != nullptr);
        if (!known) {
            // Verdicts of this node come back by gossip; that is no fault.
            if (it.judge != self_.id || direct) {
                counters_.drop(drop_reason::wrong_judge);
            }
        } else if (digest_.learn(it, now)) {
            inbox_.verdicts.push_back(it);
            urgent = urgent || it.state == health::target_state::leaving;
        }
    }
    inbox_.observations.insert(inbox_.observations.end(), content.observations.begin(),
                               content.observations.end());
    if (content.reading && (!inbox_.reading || inbox_.reading->when < *content.reading)) {
        inbox_.reading = peer_reading{content.config_version, *content.reading};
    }
    for (const auto& it : content.marks) {
        if (digest_.learn(it, clock_.wall_now())) {
            inbox_.marks.push_back(it);
            urgent = true;
        }
    }
    if (urgent) {
        spread_at_once(now);
    }
}

void gossip_node::learn_members(const message& content, instant now) {
    for (const auto& it : content.members) {
        if (it.id == self_.id) {
            learn_self(it);
        } else {
            note_merge(it.id, members_.merge(it, now), now);
        }
    }
}

void gossip_node::learn_self(const member_record& record) {
    if (record.process > self_.process) {
        if (!settings_.owns_address) {
            superseded_ = true;
            return;
        }
        self_.process = {record.process.started_ms + 1, self_.process.nonce};
        digest_.refresh(self_.id);
        urgent_news_ = true;
        return;
    }
    const bool about_us = record.process == self_.process && record.epoch >= self_.epoch;
    const bool wrong = record.state == member_state::suspect || record.state == member_state::dead;
    if (about_us && wrong) {
        self_.epoch = record.epoch + 1;
        digest_.refresh(self_.id);
        urgent_news_ = true;
    }
}

} // namespace wigeonrill::peers
