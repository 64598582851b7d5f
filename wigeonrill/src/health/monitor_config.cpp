#include "wigeonrill/src/health/monitor_state.h"

#include <algorithm>

namespace wigeonrill::health {

namespace {

// Collects the addresses of leaving targets, which are few at a time. Searching the whole VM list
// for each target would take 42,000 times 46,000 steps in the largest planned installation.
std::set<endpoint> leaving_addresses(const config::snapshot& configuration) {
    std::set<endpoint> addresses;
    for (const auto& it : configuration.vms) {
        if (it.role == config::vm_role::target && it.state == config::vm_state::leaving) {
            addresses.insert(it.address);
        }
    }
    return addresses;
}

// Returns the record of the configured process of a target, or null if there is none.
target_record* find_record(service_record* in, const config::target& of) {
    if (in == nullptr) {
        return nullptr;
    }
    const auto it = in->positions.find(of.id);
    auto* found = it == in->positions.end() ? nullptr : &in->targets[it->second];
    const bool is_same = found != nullptr && found->address == of.address &&
                         config::may_be_same_process(found->registered, of.registered);
    return is_same ? found : nullptr;
}

} // namespace

target_record monitor_state::make_target(const config::target& from, service_record* old,
                                         instant now) {
    target_record made;
    if (auto* known = find_record(old, from)) {
        made = std::move(*known);
    } else {
        made.id = from.id;
        made.address = from.address;
        // Targets of the first configuration were started before this node and need no cold start.
        made.cold_start_until = has_configured ? now + from.cold_start : now;
        // Where no process is known, one that is configured anew is taken for another one.
        if (has_configured && from.registered.started_ms == 0) {
            leaving.forget(from.id);
        }
    }
    made.registered = from.registered;
    return made;
}

void monitor_state::configure(instant now) {
    auto old_services = std::move(services);
    const auto old_positions = std::move(service_positions);
    services.clear();
    service_positions.clear();
    has_configured = !old_services.empty();
    const auto leaving_vms = leaving_addresses(*configuration);
    for (const auto& from : configuration->services) {
        const auto known = old_positions.find(from.name);
        auto* old = known == old_positions.end() ? nullptr : &old_services[known->second];
        service_record made;
        made.name = from.name;
        made.point = operating_point_of(from.weight);
        made.floor_slots = from.floor_slots;
        if (old != nullptr) {
            made.routes = std::move(old->routes);
            made.plan = std::move(old->plan);
        }
        for (const auto& it : from.targets) {
            made.positions.emplace(it.id, static_cast<std::uint32_t>(made.targets.size()));
            made.targets.push_back(make_target(it, old, now));
            made.targets.back().configured_leaving = leaving_vms.contains(it.address);
            made.targets.back().pending.in_report_queue = false;
        }
        service_positions.emplace(from.name, static_cast<std::uint32_t>(services.size()));
        services.push_back(std::move(made));
    }
    rebuild_target_sets(now);
}

void monitor_state::rebuild_target_sets(instant now) {
    report_queue.clear();
    targets_to_judge.clear();
    ejected.clear();
    local_suspects.clear();
    watched.clear();
    crashes.clear();
    stale_plans.clear();
    shared_cause = {};
    monitor_actions ignored;
    for (std::uint32_t i = 0; i < services.size(); ++i) {
        stale_plans.insert(i);
        for (std::uint32_t k = 0; k < services[i].targets.size(); ++k) {
            const target_position position{i, k};
            auto& it = services[i].targets[k];
            watched.insert(position);
            if (it.pending.answers > 0 || it.pending.nats != 0.0) {
                it.pending.in_report_queue = true;
                report_queue.push_back(position);
            }
            if (it.as_aggregator != nullptr) {
                targets_to_judge.insert(position);
                ejected.insert(position);
            }
        }
    }
    refresh(now, ignored);
    log_lines.insert(log_lines.end(), ignored.log.begin(), ignored.log.end());
    plans_changed = true;
}

bool monitor_state::mark_leaving(const target_id& target, leaving_notice notice, instant now) {
    const bool is_process_known = notice.about.started_ms != 0;
    bool is_configured = false;
    for (std::uint32_t i = 0; i < services.size(); ++i) {
        const auto it = services[i].positions.find(target);
        if (it == services[i].positions.end()) {
            continue;
        }
        if (!is_process_known) {
            notice.about.started_ms = services[i].targets[it->second].registered.started_ms;
        }
        is_configured = true;
        watched.insert({i, it->second});
    }
    return (is_process_known || is_configured) && leaving.add(target, notice, now);
}

bool monitor_state::find(const service_name& service, const target_id& target,
                         target_position& position) const {
    const auto known = service_positions.find(service);
    if (known == service_positions.end()) {
        return false;
    }
    const auto& positions = services[known->second].positions;
    const auto it = positions.find(target);
    if (it == positions.end()) {
        return false;
    }
    position = {known->second, it->second};
    return true;
}

} // namespace wigeonrill::health
