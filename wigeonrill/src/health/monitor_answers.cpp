#include "wigeonrill/src/health/monitor_state.h"

#include <algorithm>
#include <cmath>

namespace wigeonrill::health {

namespace {

// A tick that is later than this is taken for a pause of the process.
constexpr milliseconds allowed_lateness{100};
constexpr std::size_t pauses_kept = 4;
constexpr std::size_t crashes_kept = 1024;
// A crash is compared with later ones of the same request for this time.
constexpr seconds crash_lifetime{600};

bool is_crash(answer_kind kind) {
    return kind == answer_kind::connection_lost;
}

} // namespace

void monitor_state::detect_pause(instant now) {
    const auto lateness = now - last_tick - options.tick_period;
    if (has_ticked && lateness > allowed_lateness) {
        pauses.emplace_back(last_tick, now);
        if (pauses.size() > pauses_kept) {
            pauses.pop_front();
        }
        log_lines.push_back(
            "health: this process paused for " +
            std::to_string(std::chrono::duration_cast<milliseconds>(lateness).count()) +
            " ms; evidence of that span is discarded");
        // The other aggregators continued without this node, so its older decisions must not be
        // renewed.
        if (lateness > verdict_lifetime / 2) {
            reset_aggregation();
        }
    }
    has_ticked = true;
    last_tick = now;
}

void monitor_state::reset_aggregation() {
    for (const auto& position : ejected) {
        at(position).as_aggregator.reset();
    }
    ejected.clear();
    targets_to_judge.clear();
}

bool monitor_state::overlaps_pause(instant from, instant to) const {
    return std::any_of(pauses.begin(), pauses.end(),
                       [&](const auto& it) { return from < it.second && to > it.first; });
}

bool monitor_state::is_in_cold_start(const target_position& position, instant now) const {
    return now < services[position.service].targets[position.target].cold_start_until;
}

double monitor_state::shared_slowdown(const target_position& position, const route_record& route,
                                      instant now) const {
    const auto& service = services[position.service];
    return std::max({route.shared_cause.slowdown(position.target, now),
                     service.shared_cause.slowdown(position.target, now),
                     shared_cause.slowdown(global_target_number(position), now)});
}

bool monitor_state::is_failure_shared(const target_position& position, instant now) const {
    return services[position.service].shared_cause.most_others_fail(position.target, now) ||
           shared_cause.most_others_fail(global_target_number(position), now);
}

void monitor_state::process_answer(const answer& ended, instant now) {
    target_position position;
    if (!find(ended.service, ended.target, position)) {
        return;
    }
    if (ended.draining) {
        mark_leaving(ended.target, {{ended.target_process.started_ms, any_registration}}, now);
    }
    const double counted = remove_counted_evidence(ended.request, ended.target);
    const bool is_of_other_process =
        !config::may_be_same_process(ended.target_process, at(position).registered);
    if (ended.kind == answer_kind::cancelled || is_of_other_process) {
        return;
    }
    if (ended.kind == answer_kind::shed) {
        add_evidence(position, -counted, 1);
        return;
    }
    if (overlaps_pause(ended.sent, ended.ended)) {
        return;
    }
    auto& route = services[position.service].routes[ended.route];
    detect_restart(ended, position, now);
    const double nats = evidence_of(ended, position, route, now);
    // The waiting time of this request was counted while it was outstanding. A failure adds only
    // the evidence beyond that.
    add_evidence(
        position,
        is_failure(ended.kind) && nats > 0 ? std::max(0.0, nats - counted) : nats - counted, 1);
    update_baselines(ended, position, route, now);
}

void monitor_state::detect_restart(const answer& ended, const target_position& position,
                                   instant now) {
    auto& record = at(position);
    if (ended.kind == answer_kind::connect_failed) {
        record.last_connect_failed = true;
    } else if (record.last_connect_failed && ended.kind == answer_kind::ok) {
        record.last_connect_failed = false;
        record.cold_start_until =
            std::max(record.cold_start_until, now + configured(position).cold_start);
    }
}

double monitor_state::evidence_of(const answer& ended, const target_position& position,
                                  const route_record& route, instant now) {
    if (is_failure(ended.kind)) {
        return failure_evidence(ended, position, route, now);
    }
    if (is_in_cold_start(position, now) || !route.baseline.is_usable()) {
        return success_llr();
    }
    const auto ratio = route.baseline.ratio(ended.ended - ended.sent);
    return latency_llr(ratio / shared_slowdown(position, route, now),
                       services[position.service].point);
}

double monitor_state::failure_evidence(const answer& ended, const target_position& position,
                                       const route_record& route, instant now) {
    const double nats = is_failure_shared(position, now)
                            ? 0.0
                            : failure_llr(ended.kind, route.failures.usual_rate(position.target));
    if (ended.fingerprint == 0 || !is_crash(ended.kind)) {
        return nats;
    }
    auto* known = find_crash(ended.fingerprint);
    if (known == nullptr) {
        add_crash(ended.fingerprint, ended.target, now);
        crashes.back().position = position;
        crashes.back().nats = nats;
        return nats;
    }
    if (known->target == ended.target) {
        return nats;
    }
    // The request crashed two targets, so neither crash is evidence against its target.
    if (known->nats > 0.0) {
        add_evidence(known->position, -known->nats, 0);
        known->nats = 0.0;
    }
    return 0.0;
}

void monitor_state::update_baselines(const answer& ended, const target_position& position,
                                     route_record& route, instant now) {
    auto& service = services[position.service];
    if (is_failure(ended.kind)) {
        route.shared_cause.add_failure(position.target, now);
        service.shared_cause.add_failure(position.target, now);
        shared_cause.add_failure(global_target_number(position), now);
    } else if (route.baseline.is_usable() && !is_in_cold_start(position, now)) {
        const auto ratio = route.baseline.ratio(ended.ended - ended.sent);
        route.shared_cause.add(position.target, ratio, now);
        service.shared_cause.add(position.target, ratio, now);
        shared_cause.add(global_target_number(position), ratio, now);
    }
    const auto& record = at(position);
    if (record.sick || record.local_cusum > service.point.threshold / 2 ||
        is_in_cold_start(position, now)) {
        return;
    }
    route.failures.add(position.target, is_failure(ended.kind));
    if (ended.kind == answer_kind::ok) {
        route.baseline.add(ended.ended - ended.sent, position.target);
    }
}

void monitor_state::add_evidence(const target_position& position, double nats,
                                 std::uint32_t attempts) {
    auto& record = at(position);
    record.local_cusum = std::max(0.0, record.local_cusum + nats);
    record.pending.nats += nats;
    record.pending.answers += attempts;
    record.pending.urgent = record.pending.urgent || nats > 0.0;
    if (!record.pending.in_report_queue) {
        record.pending.in_report_queue = true;
        report_queue.push_back(position);
    }
    if (nats > 0.0) {
        local_suspects.insert(position);
    }
}

crash_record* monitor_state::find_crash(std::uint64_t fingerprint) {
    const auto it = std::find_if(crashes.begin(), crashes.end(), [&](const crash_record& known) {
        return known.fingerprint == fingerprint;
    });
    return it == crashes.end() ? nullptr : &*it;
}

void monitor_state::add_crash(std::uint64_t fingerprint, const target_id& target, instant now) {
    while (!crashes.empty() &&
           (crashes.size() >= crashes_kept || now - crashes.front().seen > crash_lifetime)) {
        crashes.pop_front();
    }
    if (find_crash(fingerprint) == nullptr) {
        crash_record made;
        made.fingerprint = fingerprint;
        made.target = target;
        made.seen = now;
        crashes.push_back(std::move(made));
    }
}

void monitor_state::process_probe(const answer& ended, instant now) {
    target_position position;
    if (!find(ended.service, ended.target, position) || at(position).as_aggregator == nullptr ||
        overlaps_pause(ended.sent, ended.ended)) {
        return;
    }
    constexpr double slow_ratio = 3.0;
    constexpr seconds slow_health_endpoint{1};
    const auto& routes = services[position.service].routes;
    const auto it = routes.find(ended.route);
    const auto latency = ended.ended - ended.sent;
    const bool fast = it != routes.end() && it->second.baseline.is_usable()
                          ? it->second.baseline.ratio(latency) <
                                slow_ratio * shared_slowdown(position, it->second, now)
                          : latency < slow_health_endpoint;
    if (ended.kind != answer_kind::shed && ended.kind != answer_kind::cancelled) {
        at(position).as_aggregator->ejection.add_probe(ended.kind == answer_kind::ok && fast);
    }
}

} // namespace wigeonrill::health
