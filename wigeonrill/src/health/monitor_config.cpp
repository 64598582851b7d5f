#include "wigeonrill/src/health/monitor_state.h"

#include <algorithm>

namespace wigeonrill::health {

namespace {

// Longer than any drain, so that a silent leaving target gets no work; shorter than a day, so that
// a replacement at the same address is used again.
constexpr seconds leaving_lifetime{600};

// Few at a time. A search of the whole list for each target would take 42,000 times 46,000 steps
// at the target size.
std::set<endpoint> listed_leaving(const config::snapshot& configuration) {
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
        const auto it = old->places.find(from.id);
        if (it != old->places.end() && old->targets[it->second].address == from.address) {
            return std::move(old->targets[it->second]);
        }
    }
    target_record made;
    made.id = from.id;
    made.address = from.address;
    // Targets of the first configuration ran before this node did.
    made.cold_until = first ? now : now + from.cold_start;
    return made;
}

} // namespace

void monitor_state::configure(instant now) {
    auto old_services = std::move(services);
    const auto old_places = std::move(service_places);
    services.clear();
    service_places.clear();
    const bool first = old_services.empty();
    const auto leaving = listed_leaving(*configuration);
    for (const auto& from : configuration->services) {
        const auto known = old_places.find(from.name);
        auto* old = known == old_places.end() ? nullptr : &old_services[known->second];
        service_record made;
        made.name = from.name;
        made.point = operating_point_of(from.weight);
        made.floor_slots = from.floor_slots;
        if (old != nullptr) {
            made.routes = std::move(old->routes);
            made.plan = std::move(old->plan);
        }
        for (const auto& it : from.targets) {
            made.places.emplace(it.id, static_cast<std::uint32_t>(made.targets.size()));
            made.targets.push_back(make_target(it, old, first, now));
            made.targets.back().listed_leaving = leaving.contains(it.address);
            made.targets.back().pending.listed = false;
        }
        service_places.emplace(from.name, static_cast<std::uint32_t>(services.size()));
        services.push_back(std::move(made));
    }
    index_targets(now);
}

void monitor_state::index_targets(instant now) {
    pending.clear();
    judging.clear();
    ejected.clear();
    suspected.clear();
    watched.clear();
    crashes.clear();
    stale_plans.clear();
    shared = {};
    monitor_actions ignored;
    for (std::uint32_t i = 0; i < services.size(); ++i) {
        stale_plans.insert(i);
        for (std::uint32_t k = 0; k < services[i].targets.size(); ++k) {
            const target_place place{i, k};
            auto& it = services[i].targets[k];
            watched.insert(place);
            if (it.pending.answers > 0 || it.pending.nats != 0.0) {
                it.pending.listed = true;
                pending.push_back(place);
            }
            if (it.judged != nullptr) {
                judging.insert(place);
                ejected.insert(place);
            }
        }
    }
    refresh(now, ignored);
    messages.insert(messages.end(), ignored.log.begin(), ignored.log.end());
    plans_changed = true;
}

void monitor_state::mark_leaving(const target_id& target, instant now) {
    for (std::uint32_t i = 0; i < services.size(); ++i) {
        const auto it = services[i].places.find(target);
        if (it != services[i].places.end()) {
            services[i].targets[it->second].leaving_until = now + leaving_lifetime;
            watched.insert({i, it->second});
        }
    }
}

bool monitor_state::find(const service_name& service, const target_id& target,
                         target_place& place) const {
    const auto known = service_places.find(service);
    if (known == service_places.end()) {
        return false;
    }
    const auto& places = services[known->second].places;
    const auto it = places.find(target);
    if (it == places.end()) {
        return false;
    }
    place = {known->second, it->second};
    return true;
}

} // namespace wigeonrill::health
