#include "wigeonrill/src/health/monitor_state.h"

#include <algorithm>
#include <cstdio>
#include <iterator>

namespace wigeonrill::health {

namespace {

// A target that stays in use for the floor may return after this number of answers to normal
// requests, without probes.
constexpr std::uint64_t answers_for_return = 20;
constexpr int return_copies = 3;
constexpr seconds return_copy_interval{1};
// The other aggregator renews its verdict every 10 s. If none arrived for this time, this node
// probes the target instead.
constexpr seconds other_aggregator_timeout{15};
// The local test has one reporter only. Where two failure domains are required, it needs this much
// more evidence instead.
constexpr double local_precision_factor = 1.5;

std::string nats_text(double nats) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.1f", nats);
    return text.data();
}

} // namespace

void monitor_state::judge_targets(instant now, monitor_actions& actions) {
    for (const auto& position : targets_to_judge) {
        auto& aggregation = aggregation_of(position);
        const auto& point = services[position.service].point;
        if (aggregation.ejection.is_ejected() ||
            !aggregation.pool.is_sick(point, nodes.domains(), nodes.size())) {
            continue;
        }
        if (is_ejection_suppressed(position, now)) {
            if (!aggregation.suppression_logged) {
                actions.log.push_back("health: " + log_name(position) +
                                      " is not ejected: other targets are slow or failing too");
            }
            aggregation.suppression_logged = true;
            aggregation.pool.halve(point);
            continue;
        }
        eject(position, aggregation.pool.statistic(), now, actions);
    }
    targets_to_judge.clear();
    take_over_verdicts(now, actions);
    const auto current = ejected;
    for (const auto& position : current) {
        update_ejection(position, now, actions);
    }
    for (const auto& position : local_suspects) {
        run_local_test(position, now, actions);
    }
    local_suspects.clear();
}

void monitor_state::take_over_verdicts(instant now, monitor_actions& actions) {
    if (takeover_generation == node_generation) {
        return;
    }
    takeover_generation = node_generation;
    const auto current = watched;
    for (const auto& position : current) {
        const auto& chosen = aggregators_of(at(position));
        const auto is_chosen = [&](const node_id& node) {
            return std::find(chosen.begin(), chosen.end(), node) != chosen.end();
        };
        double severity = -1.0;
        bool unowned = is_chosen(options.self) && !aggregation_of(position).ejection.is_ejected();
        for (const auto& it : at(position).verdicts) {
            if (it.state == target_state::sick && it.expires > now) {
                severity = std::max(severity, it.severity);
                unowned = unowned && !is_chosen(it.judge);
            }
        }
        if (unowned && severity >= 0.0) {
            eject(position, severity, now, actions);
        }
    }
}

bool monitor_state::is_ejection_suppressed(const target_position& position, instant now) const {
    const auto& service = services[position.service];
    const auto& pool = service.targets[position.target].as_aggregator->pool;
    const double others = pool.others_ratio(now);
    // The reports of all nodes show a shared slowdown earlier than the answers of this node do.
    return others > 0.0
               ? others > service.point.max_shared_slowdown || is_failure_shared(position, now)
               : has_shared_cause(position, now);
}

bool monitor_state::has_shared_cause(const target_position& position, instant now) const {
    const auto& service = services[position.service];
    return std::max(service.shared_cause.slowdown(position.target, now),
                    shared_cause.slowdown(global_target_number(position), now)) >
               service.point.max_shared_slowdown ||
           is_failure_shared(position, now);
}

void monitor_state::eject(const target_position& position, double severity, instant now,
                          monitor_actions& actions) {
    auto& aggregation = aggregation_of(position);
    aggregation.ejection.eject(now);
    aggregation.severity = severity;
    aggregation.suppression_logged = false;
    aggregation.last_other_verdict = now;
    aggregation.pool.reset();
    ejected.insert(position);
    actions.log.push_back("health: " + log_name(position) + " is judged sick, severity " +
                          nats_text(severity) + ", hold time " +
                          std::to_string(aggregation.ejection.hold_time().count()) + " s");
    issue_verdict(position, target_state::sick, now, actions);
}

void monitor_state::update_ejection(const target_position& position, instant now,
                                    monitor_actions& actions) {
    auto& aggregation = aggregation_of(position);
    const auto& chosen = aggregators_of(at(position));
    const auto self = std::find(chosen.begin(), chosen.end(), options.self);
    if (self == chosen.end()) {
        // This node is no longer an aggregator. The new aggregators take the verdict over before it
        // expires.
        aggregation.ejection = {};
        ejected.erase(position);
        return;
    }
    if (!aggregation.ejection.is_ejected()) {
        resend_return_verdict(position, now, actions);
        return;
    }
    const bool first = self == chosen.begin();
    if (aggregation.ejection.is_probe_due(now) &&
        (first || now - aggregation.last_other_verdict > other_aggregator_timeout)) {
        aggregation.ejection.probe_sent(now);
        actions.probes.push_back({services[position.service].name, at(position).id});
    }
    const auto& point = services[position.service].point;
    const bool evidence = aggregation.ejection.has_passed_probes() ||
                          aggregation.pool.answers() >= answers_for_return;
    if (aggregation.ejection.is_hold_over(now) && evidence &&
        aggregation.pool.statistic() < point.threshold / 2) {
        return_to_use(position, now, actions);
    } else if (now - aggregation.last_verdict_sent >= renewal_interval) {
        issue_verdict(position, target_state::sick, now, actions);
    }
}

void monitor_state::return_to_use(const target_position& position, instant now,
                                  monitor_actions& actions) {
    auto& aggregation = aggregation_of(position);
    aggregation.ejection.end(now);
    aggregation.pool.reset();
    aggregation.return_copies_left = return_copies;
    actions.log.push_back("health: " + log_name(position) + " returns at 10% weight");
    issue_verdict(position, target_state::warming, now, actions);
}

void monitor_state::resend_return_verdict(const target_position& position, instant now,
                                          monitor_actions& actions) {
    auto& aggregation = aggregation_of(position);
    if (aggregation.return_copies_left == 0) {
        ejected.erase(position);
    } else if (now - aggregation.last_verdict_sent >= return_copy_interval) {
        --aggregation.return_copies_left;
        issue_verdict(position, target_state::warming, now, actions);
    }
}

void monitor_state::issue_verdict(const target_position& position, target_state state, instant now,
                                  monitor_actions& actions) {
    auto& aggregation = aggregation_of(position);
    verdict made;
    made.service = services[position.service].name;
    made.target = at(position).id;
    made.state = state;
    made.severity = state == target_state::sick ? aggregation.severity : 0.0;
    made.judge = options.self;
    made.sequence = next_sequence++;
    made.expires = now + verdict_lifetime;
    made.about.started_ms = at(position).registered.started_ms;
    aggregation.last_verdict_sent = now;
    store_verdict(made, position);
    auto receivers = aggregation.pool.reporters();
    for (const auto& it : aggregators_of(at(position))) {
        receivers.push_back(it);
    }
    std::sort(receivers.begin(), receivers.end());
    receivers.erase(std::unique(receivers.begin(), receivers.end()), receivers.end());
    std::erase(receivers, options.self);
    if (!receivers.empty()) {
        actions.verdicts.push_back({std::move(receivers), std::move(made)});
    }
}

void monitor_state::store_verdict(const verdict& received, const target_position& position) {
    auto& held = at(position).verdicts;
    const auto it = std::find_if(held.begin(), held.end(), [&](const verdict& known) {
        return known.judge == received.judge;
    });
    if (it == held.end()) {
        held.push_back(received);
    } else if (it->sequence < received.sequence) {
        *it = received;
    }
    watched.insert(position);
}

void monitor_state::apply_verdict(const verdict& received, const target_position& position,
                                  instant now) {
    const auto& held = at(position).verdicts;
    const bool known = std::any_of(held.begin(), held.end(), [&](const verdict& it) {
        return it.judge == received.judge && it.sequence >= received.sequence;
    });
    if (known) {
        return;
    }
    store_verdict(received, position);
    const auto& chosen = aggregators_of(at(position));
    if (std::find(chosen.begin(), chosen.end(), options.self) == chosen.end()) {
        return;
    }
    auto& aggregation = aggregation_of(position);
    aggregation.last_other_verdict = now;
    monitor_actions later;
    if (received.state == target_state::sick && !aggregation.ejection.is_ejected() &&
        aggregation.return_copies_left == 0) {
        eject(position, received.severity, now, later);
    } else if (received.state != target_state::sick && aggregation.ejection.is_ejected()) {
        return_to_use(position, now, later);
    }
    queued_actions.push_back(std::move(later));
}

void monitor_state::flush_queued_actions(monitor_actions& actions) {
    for (auto& it : queued_actions) {
        std::move(it.verdicts.begin(), it.verdicts.end(), std::back_inserter(actions.verdicts));
        std::move(it.log.begin(), it.log.end(), std::back_inserter(actions.log));
    }
    queued_actions.clear();
    std::move(log_lines.begin(), log_lines.end(), std::back_inserter(actions.log));
    log_lines.clear();
}

void monitor_state::run_local_test(const target_position& position, instant now,
                                   monitor_actions& actions) {
    auto& record = at(position);
    const auto& point = services[position.service].point;
    const double threshold =
        point.threshold *
        (point.requires_two_domains && nodes.size() > 1 ? local_precision_factor : 1.0);
    if (record.local_cusum < threshold || record.local_ejection.is_ejected()) {
        return;
    }
    if (has_shared_cause(position, now)) {
        record.local_cusum = 0.0;
        return;
    }
    record.local_ejection.eject(now);
    record.local_severity = record.local_cusum;
    record.local_cusum = 0.0;
    watched.insert(position);
    actions.log.push_back("health: " + log_name(position) +
                          " is sick as seen from this node, severity " +
                          nats_text(record.local_severity));
}

} // namespace wigeonrill::health
