#include "wigeonrill/peers.h"

#include <cmath>

namespace wigeonrill::peers {

namespace {

// An answer is overdue after this time; a round trip takes up to about 200 ms between regions.
constexpr milliseconds probe_timeout{250};
constexpr std::uint32_t min_attempts = 3;
constexpr std::uint32_t max_attempts = 16;
// Accepted probability of a wrong suspicion per probe. Each one makes the fleet disseminate two
// records: the suspicion and its refutation.
constexpr double wrong_suspicion_probability = 1e-4;
// Weight of a new value in the moving average. It adapts within 2 s of probes, before a sudden rise
// of losses can lead to many wrong suspicions.
constexpr double average_weight = 0.2;
// One round in this number also contacts a peer that doesn't respond, so that the end of a
// partition is noticed. In a fleet of 36 nodes this happens 7 times a second in total.
constexpr std::uint64_t rounds_per_retry = 10;
// A peer that refuted a suspicion by this node but still doesn't answer is not suspected again
// before this time.
constexpr seconds min_suspicion_interval{60};

} // namespace

void gossip_node::tick() {
    const auto now = clock_.now();
    compensate_for_pause(now);
    byte_budget_.refill(now);
    digest_.expire(now, clock_.wall_now());
    for (const auto& id : members_.expire(now)) {
        digest_.add_disseminated(id);
    }
    retry_probes(now);
    if (now >= next_gossip_) {
        next_gossip_ = std::max(next_gossip_ + gossip_interval, now);
        gossip(now);
    }
    forward_member_changes(now);
    flush_evidence(now);
}

void gossip_node::compensate_for_pause(instant now) {
    const auto last = std::exchange(last_tick_, now);
    if (!last) {
        return;
    }
    const auto late = now - *last - tick_interval;
    if (late <= pause_threshold) {
        return;
    }
    ++pause_count_;
    members_.shift_timers(late);
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
    const auto sequence = members_.find(peer)->link.last_sent_sequence();
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
            probe_failure_rate_ += average_weight * (1.0 - probe_failure_rate_);
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
        handle_failed_probe(id, open, now);
    }
}

std::uint32_t gossip_node::attempts_allowed() const {
    if (probe_failure_rate_ < 0.01) {
        return min_attempts;
    }
    if (probe_failure_rate_ > 0.99) {
        return max_attempts;
    }
    const auto needed =
        std::ceil(std::log(wrong_suspicion_probability) / std::log(probe_failure_rate_));
    return std::clamp(static_cast<std::uint32_t>(needed), min_attempts, max_attempts);
}

void gossip_node::handle_failed_probe(const node_id& peer, const probe& failed, instant now) {
    auto* it = members_.find(peer);
    if (it == nullptr) {
        return;
    }
    it->unreachable = true;
    // A peer whose messages arrive is alive; only the direction from this node to it is broken.
    const bool received_since = it->last_received && *it->last_received >= failed.started;
    if (!received_since && members_.suspect(peer, now)) {
        it->no_suspicion_before = now + min_suspicion_interval;
        digest_.mark_fresh(peer);
        member_changes_pending_ = true;
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
    sender->last_received = now;
    const auto echoed_before = sender->link.last_echoed_sequence();
    sender->link.record_echo(content.echo, now);
    const auto open = probes_.find(from);
    if (open != probes_.end() && sender->link.last_echoed_sequence() >= open->second.sequence) {
        if (open->second.attempts == 1) {
            probe_failure_rate_ -= average_weight * probe_failure_rate_;
        }
        probes_.erase(open);
    }
    if (sender->link.last_echoed_sequence() > echoed_before) {
        sender->unreachable = false;
    }
    apply_config_state(*sender, content);
    apply_items(*sender, content, now);
    apply_member_records(content, now);
    byte_budget_.refill(now);
    if (content.kind == message_kind::gossip_request) {
        reply(from, now);
    }
    forward_member_changes(now);
}

bool gossip_node::accept_header(const node_id& from, const message& content, instant now) {
    auto* sender = members_.find(from);
    const member_record record{from,
                               content.domain,
                               content.process,
                               content.epoch,
                               content.leaving ? member_state::leaving : member_state::alive,
                               content.traffic_port,
                               content.cut_off,
                               content.checks_keys};
    if (sender == nullptr && settings_.accepts_unlisted_peers) {
        handle_merge_outcome(from, members_.merge(record, now), now);
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
    handle_merge_outcome(from, members_.merge(record, now), now);
    sender = members_.find(from);
    if (sender == nullptr || !sender->link.accept(content.sequence)) {
        counters_.drop(drop_reason::duplicate);
        return false;
    }
    return true;
}

void gossip_node::handle_merge_outcome(const node_id& id, merge_outcome outcome, instant now) {
    if (outcome == merge_outcome::changed) {
        digest_.mark_fresh(id);
        member_changes_pending_ = true;
        probe_if_alive_again(id, now);
    } else if (outcome == merge_outcome::first) {
        digest_.add_disseminated(id);
    }
}

// Contacts a peer again that refuted a suspicion, to find out whether its link to this node works
// again or only this link is broken.
void gossip_node::probe_if_alive_again(const node_id& id, instant now) {
    const auto* it = members_.find(id);
    const bool back = it != nullptr && it->unreachable && it->record.state == member_state::alive;
    if (back && !probes_.contains(id)) {
        start_probe(id, now);
    }
}

void gossip_node::apply_config_state(member& sender, const message& content) {
    sender.config_version = std::max(sender.config_version, content.config_version);
    fetches_.record_peer_version(sender.record.id, content.config_version, clock_.now());
    if (content.config_version != config_version_ || content.config_digest == 0) {
        return;
    }
    if (content.config_digest != config_digest_) {
        ++digest_conflicts_;
    } else if (content.confirmed) {
        update_confirmed(*content.confirmed);
    }
}

void gossip_node::apply_items(const member& sender, const message& content, instant now) {
    for (auto it : content.evidence) {
        it.reporter = sender.record.id;
        it.reporter_domain = sender.record.domain;
        inbox_.evidence.push_back(std::move(it));
    }
    // Callers repeat requests that crash targets at once, and leaving targets and those at their
    // rate limit must get no new requests soon, so news of these doesn't wait for the next round.
    bool urgent = false;
    for (const auto& it : content.verdicts) {
        const bool direct = content.kind == message_kind::verdict;
        const bool known =
            it.judge == sender.record.id || (!direct && members_.find(it.judge) != nullptr);
        if (!known) {
            // Gossip also returns verdicts that this node made itself; they are not counted as
            // errors.
            if (it.judge != self_.id || direct) {
                counters_.drop(drop_reason::wrong_judge);
            }
        } else if (digest_.add_if_new(it, now)) {
            inbox_.verdicts.push_back(it);
            urgent = urgent || health::is_news_of_leaving(it);
        }
    }
    inbox_.observations.insert(inbox_.observations.end(), content.observations.begin(),
                               content.observations.end());
    if (content.reading && (!inbox_.reading || inbox_.reading->when < *content.reading)) {
        inbox_.reading = peer_store_reading{content.config_version, *content.reading};
    }
    if (content.credit_ask) {
        inbox_.credit_asks.emplace_back(sender.record.id, *content.credit_ask);
    }
    if (content.credit_grant) {
        inbox_.credit_grants.emplace_back(sender.record.id, *content.credit_grant);
    }
    for (const auto& it : content.marks) {
        if (digest_.add_if_new(it, clock_.wall_now())) {
            inbox_.marks.push_back(it);
            urgent = true;
        }
    }
    for (const auto& it : content.rate_limits) {
        if (digest_.add_if_new(it, now)) {
            inbox_.rate_limits.push_back(it);
            urgent = true;
        }
    }
    if (urgent) {
        gossip_immediately(now);
    }
}

void gossip_node::apply_member_records(const message& content, instant now) {
    for (const auto& it : content.members) {
        if (it.id == self_.id) {
            apply_record_of_self(it);
        } else {
            handle_merge_outcome(it.id, members_.merge(it, now), now);
        }
    }
}

void gossip_node::apply_record_of_self(const member_record& record) {
    if (record.process > self_.process) {
        if (!settings_.exclusive_address) {
            superseded_ = true;
            return;
        }
        self_.process = {record.process.started_ms + 1, self_.process.nonce};
        digest_.mark_fresh(self_.id);
        member_changes_pending_ = true;
        return;
    }
    const bool about_us = record.process == self_.process && record.epoch >= self_.epoch;
    const bool wrong = record.state == member_state::suspect || record.state == member_state::dead;
    if (about_us && wrong) {
        self_.epoch = record.epoch + 1;
        digest_.mark_fresh(self_.id);
        member_changes_pending_ = true;
    }
}

} // namespace wigeonrill::peers
