#include "wigeonrill/src/health/monitor_state.h"

#include <algorithm>

namespace wigeonrill::health {

namespace {

// Longer than any drain, so that a target that stopped without a further sign receives no requests;
// shorter than a day, so that a replacement at the same address is used again.
constexpr seconds leaving_lifetime{600};

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

target_record make_target(const config::target& from, service_record* old, bool first,
                          instant now) {
    if (old != nullptr) {
        const auto it = old->positions.find(from.id);
        if (it != old->positions.end() && old->targets[it->second].address == from.address) {
            return std::move(old->targets[it->second]);
        }
    }
    target_record made;
    made.id = from.id;
    made.address = from.address;
    // Targets of the first configuration were started before this node and need no cold start.
    made.cold_start_until = first ? now : now + from.cold_start;
    return made;
}

} // namespace

void monitor_state::configure(instant now) {
    auto old_services = std::move(services);
    const auto old_positions = std::move(service_positions);
    services.clear();
    service_positions.clear();
    const bool first = old_services.empty();
    const auto leaving = leaving_addresses(*configuration);
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
            made.targets.push_back(make_target(it, old, first, now));
            made.targets.back().configured_leaving = leaving.contains(it.address);
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

void monitor_state::mark_leaving(const target_id& target, instant now) {
    for (std::uint32_t i = 0; i < services.size(); ++i) {
        const auto it = services[i].positions.find(target);
        if (it != services[i].positions.end()) {
            services[i].targets[it->second].leaving_until = now + leaving_lifetime;
            watched.insert({i, it->second});
        }
    }
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
