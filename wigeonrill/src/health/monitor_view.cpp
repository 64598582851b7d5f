#include "wigeonrill/src/health/monitor_state.h"

#include <algorithm>

namespace wigeonrill::health {

std::string monitor_state::log_name(const target_position& position) const {
    const auto& service = services[position.service];
    return "service " + service.name.value + " target " + service.targets[position.target].id.value;
}

std::uint32_t monitor_state::global_target_number(const target_position& position) {
    // A collision is harmless unless both targets are among the few samples that are compared.
    return position.service * 4096U + position.target;
}

void monitor_state::refresh(instant now, monitor_actions& actions) {
    for (auto it = watched.begin(); it != watched.end();) {
        const auto position = *it++;
        refresh_target(position, now, actions);
    }
    refresh_plans(actions);
    actions.plans_changed = actions.plans_changed || plans_changed;
    plans_changed = false;
}

void monitor_state::refresh_target(const target_position& position, instant now,
                                   monitor_actions& actions) {
    auto& record = at(position);
    std::erase_if(record.verdicts, [&](const verdict& it) { return it.expires <= now; });
    if (record.local_ejection.is_ejected() && record.local_ejection.is_hold_over(now)) {
        record.local_ejection.end(now);
    }
    auto next = compute_status(position, now);
    if (next.state != record.current_status.state) {
        actions.log.push_back("health: " + log_name(position) + " is " +
                              std::string(enum_name(target_state_names, next.state)) +
                              (next.reason.empty() ? "" : ": " + next.reason));
    }
    if (next.state != record.current_status.state || next.weight != record.current_status.weight ||
        next.severity != record.current_status.severity) {
        stale_plans.insert(position.service);
    }
    record.current_status = std::move(next);
    if (record.current_status.state == target_state::healthy && record.verdicts.empty()) {
        watched.erase(position);
    }
}

target_status monitor_state::compute_status(const target_position& position, instant now) {
    auto& record = at(position);
    target_status next;
    const bool was_sick = record.sick;
    record.sick = record.local_ejection.is_ejected();
    if (record.sick) {
        next.severity = record.local_severity;
        next.reason = "own evidence";
    }
    for (const auto& it : record.verdicts) {
        if (it.state == target_state::sick) {
            record.sick = true;
            next.severity = std::max(next.severity, it.severity);
            next.reason = "verdict of " + it.judge.value;
        }
    }
    if (was_sick && !record.sick) {
        record.ramping = true;
        record.returned_at = now;
        record.cold_start_until =
            std::max(record.cold_start_until, now + configured(position).cold_start);
    }
    if (record.configured_leaving || leaving.contains(record.id, record.registered, now)) {
        next.state = target_state::leaving;
        next.reason = "it is about to stop";
    } else if (record.sick) {
        next.state = target_state::sick;
    } else {
        next.weight = record.ramping ? ramp_weight(now - record.returned_at) : 1.0;
        record.ramping = record.ramping && next.weight < 1.0;
        if (record.ramping || now < record.cold_start_until) {
            next.state = target_state::warming;
            next.reason = record.ramping ? "it returns after an ejection" : "cold start";
        }
    }
    return next;
}

std::vector<target_condition> monitor_state::conditions(std::uint32_t service) const {
    std::vector<target_condition> result;
    const auto& configured_targets = configuration->services[service].targets;
    for (std::uint32_t i = 0; i < configured_targets.size(); ++i) {
        const auto& current_status = services[service].targets[i].current_status;
        const auto& domain = configured_targets[i].domain;
        const bool reachable =
            std::find(unreachable.begin(), unreachable.end(), domain) == unreachable.end();
        result.push_back({i, configured_targets[i].slots, current_status.state,
                          current_status.severity, current_status.weight, reachable});
    }
    return result;
}

void monitor_state::refresh_plans(monitor_actions& actions) {
    for (const auto service_index : stale_plans) {
        auto& service = services[service_index];
        auto next = ejection_policy{}.plan(conditions(service_index), service.floor_slots);
        if (next.kept > 0 && next.kept != service.plan.kept) {
            actions.log.push_back(
                "health: service " + service.name.value + " keeps " + std::to_string(next.kept) +
                " sick targets in use: its floor is " + std::to_string(service.floor_slots) +
                " slots, " + std::to_string(next.healthy_slots) + " are healthy");
        }
        actions.plans_changed = actions.plans_changed || !(next == service.plan);
        service.plan = std::move(next);
    }
    stale_plans.clear();
}

} // namespace wigeonrill::health
