#include "wigeonrill/src/health/monitor_state.h"

#include <algorithm>

namespace wigeonrill::health {

std::string monitor_state::name_of(const target_place& place) const {
    const auto& service = services[place.service];
    return "service " + service.name.value + " target " + service.targets[place.target].id.value;
}

std::uint32_t monitor_state::node_number(const target_place& place) {
    // Numbers of different services must differ only among the few samples that are compared.
    return place.service * 4096U + place.target;
}

void monitor_state::refresh(instant now, monitor_actions& actions) {
    for (auto it = watched.begin(); it != watched.end();) {
        const auto place = *it++;
        refresh_target(place, now, actions);
    }
    refresh_plans(actions);
    actions.plans_changed = actions.plans_changed || plans_changed;
    plans_changed = false;
}

void monitor_state::refresh_target(const target_place& place, instant now,
                                   monitor_actions& actions) {
    auto& record = at(place);
    std::erase_if(record.verdicts, [&](const verdict& it) { return it.expires <= now; });
    if (record.local_course.is_ejected() && record.local_course.is_hold_over(now)) {
        record.local_course.end(now);
    }
    auto next = shown_state(place, now);
    if (next.state != record.shown.state) {
        actions.log.push_back("health: " + name_of(place) + " is " +
                              std::string(enum_name(target_state_names, next.state)) +
                              (next.reason.empty() ? "" : ": " + next.reason));
    }
    if (next.state != record.shown.state || next.weight != record.shown.weight ||
        next.severity != record.shown.severity) {
        stale_plans.insert(place.service);
    }
    record.shown = std::move(next);
    if (record.shown.state == target_state::healthy && record.verdicts.empty()) {
        watched.erase(place);
    }
}

target_status monitor_state::shown_state(const target_place& place, instant now) {
    auto& record = at(place);
    target_status next;
    const bool was_sick = record.sick;
    record.sick = record.local_course.is_ejected();
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
        record.returned = now;
        record.cold_until = std::max(record.cold_until, now + configured(place).cold_start);
    }
    if (record.listed_leaving || now < record.leaving_until) {
        next.state = target_state::leaving;
        next.reason = "it is about to stop";
    } else if (record.sick) {
        next.state = target_state::sick;
    } else {
        next.weight = record.ramping ? ramp_weight(now - record.returned) : 1.0;
        record.ramping = record.ramping && next.weight < 1.0;
        if (record.ramping || now < record.cold_until) {
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
        const auto& shown = services[service].targets[i].shown;
        const auto& domain = configured_targets[i].domain;
        const bool reachable =
            std::find(unreachable.begin(), unreachable.end(), domain) == unreachable.end();
        result.push_back(
            {i, configured_targets[i].slots, shown.state, shown.severity, shown.weight, reachable});
    }
    return result;
}

void monitor_state::refresh_plans(monitor_actions& actions) {
    for (const auto place : stale_plans) {
        auto& service = services[place];
        auto next = ejection_policy{}.plan(conditions(place), service.floor_slots);
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
