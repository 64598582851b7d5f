#include "wigeonrill/peers.h"

// Members of gossip_node that tell other nodes what this one has found out about targets.

namespace wigeonrill::peers {

namespace {

// At a level below this, evidence waits and verdicts aren't sent directly; the rest is reserved for
// gossip.
constexpr double gossip_reserve_bytes = 2'000;
// This many observations fit one datagram if the names have 64 bytes each.
constexpr std::size_t observations_per_message = 7;

} // namespace

void gossip_node::report(const std::vector<node_id>& aggregators,
                         const health::evidence_report& evidence) {
    for (const auto& it : aggregators) {
        if (it == self_.id) {
            auto local_report = evidence;
            local_report.reporter = self_.id;
            local_report.reporter_domain = self_.domain;
            inbox_.evidence.push_back(local_report);
        } else if (!evidence_.push(it, evidence)) {
            ++counters_.evidence_discarded;
        }
    }
    const auto now = clock_.now();
    byte_budget_.refill(now);
    flush_evidence(now);
}

void gossip_node::flush_evidence(instant now) {
    while (evidence_.size() > 0 && byte_budget_.level() >= gossip_reserve_bytes) {
        auto batch = evidence_.pop();
        message content;
        content.kind = message_kind::evidence;
        content.evidence = std::move(batch->second);
        send(batch->first, std::move(content), now);
    }
}

void gossip_node::announce(const health::verdict& item, const std::vector<node_id>& reporters) {
    const auto now = clock_.now();
    if (!digest_.add_if_new(item, now)) {
        return;
    }
    if (health::is_news_of_leaving(item)) {
        gossip_immediately(now);
    }
    byte_budget_.refill(now);
    for (const auto& it : reporters) {
        if (it != self_.id && byte_budget_.level() >= gossip_reserve_bytes) {
            message content;
            content.kind = message_kind::verdict;
            content.verdicts.push_back(item);
            send(it, std::move(content), now);
        }
    }
}

void gossip_node::announce(const once::crash_mark& item) {
    if (digest_.add_if_new(item, clock_.wall_now())) {
        gossip_immediately(clock_.now());
    }
}

void gossip_node::announce(const health::rate_limit& item) {
    const auto now = clock_.now();
    if (digest_.add_if_new(item, now)) {
        gossip_immediately(now);
    }
}

void gossip_node::announce_store_reading(const std::vector<node_id>& to, instant when) {
    for (const auto& it : to) {
        message content;
        content.kind = message_kind::reading;
        content.reading = when;
        send(it, std::move(content), clock_.now());
    }
}

void gossip_node::announce(std::vector<health::observation> seen, const std::vector<node_id>& to) {
    const auto may_wait = [](const health::observation& it) {
        return it.outstanding >= 0 && (it.kind == health::observation_kind::good ||
                                       it.kind == health::observation_kind::load_only);
    };
    const auto waiting = std::stable_partition(seen.begin(), seen.end(), std::not_fn(may_wait));
    std::for_each(waiting, seen.end(), [this](auto& it) { counts_.add(std::move(it)); });
    seen.erase(waiting, seen.end());
    const auto now = clock_.now();
    load_budget_.refill(now);
    if (load_budget_.level() > 0.0) {
        std::ranges::move(counts_.take(), std::back_inserter(seen));
    }
    send_observations(seen, to, now);
}

void gossip_node::send_observations(const std::vector<health::observation>& seen,
                                    const std::vector<node_id>& to, instant now) {
    for (std::size_t first = 0; first < seen.size(); first += observations_per_message) {
        const auto last = std::min(first + observations_per_message, seen.size());
        for (const auto& it : to) {
            message content;
            content.kind = message_kind::observation;
            content.observations.assign(seen.begin() + static_cast<std::ptrdiff_t>(first),
                                        seen.begin() + static_cast<std::ptrdiff_t>(last));
            send(it, std::move(content), now);
        }
    }
}

} // namespace wigeonrill::peers
