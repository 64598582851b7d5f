#include "wigeonrill/src/health/monitor_state.h"

#include <algorithm>

namespace wigeonrill::health {

namespace {

// In nats. A smaller increase isn't worth a report and is added with a later one.
constexpr double min_gain = 0.3;
// Age of a request divided by the baseline of its route. Younger requests are normal, and counting
// them would cost reports.
constexpr double min_ratio = 1.0;
// Counted evidence is removed after this time when the end of its request is never reported.
constexpr seconds counted_lifetime{120};

// The key includes the target, because a request may be sent to several targets.
std::uint64_t outstanding_key(std::uint64_t request, const target_id& target) {
    return mix_bits(request) ^ stable_hash(target.value);
}

} // namespace

double monitor_state::remove_counted_evidence(std::uint64_t request, const target_id& target) {
    if (request == 0) {
        return 0.0;
    }
    const auto it = counted_outstanding.find(outstanding_key(request, target));
    if (it == counted_outstanding.end()) {
        return 0.0;
    }
    const double nats = it->second.nats;
    counted_outstanding.erase(it);
    return nats;
}

void monitor_state::process_outstanding(instant now) {
    shared_cause.clear_outstanding();
    for (auto& service : services) {
        for (auto& route : service.outstanding_routes) {
            service.routes[route].shared_cause.clear_outstanding();
        }
        service.outstanding_routes.clear();
        service.shared_cause.clear_outstanding();
    }
    std::vector<std::pair<target_position, const outstanding_event*>> waiting;
    for (const auto& it : outstanding) {
        target_position position;
        if (find(it.service, it.target, position) && !overlaps_pause(now - it.age, now) &&
            !is_in_cold_start(position, now) && record_outstanding(it, position)) {
            waiting.emplace_back(position, &it);
        }
    }
    for (const auto& [position, it] : waiting) {
        count_outstanding(*it, position, now);
    }
    outstanding.clear();
    std::erase_if(counted_outstanding,
                  [&](const auto& it) { return now - it.second.seen > counted_lifetime; });
}

bool monitor_state::record_outstanding(const outstanding_event& waiting,
                                       const target_position& position) {
    auto& service = services[position.service];
    const auto known = service.routes.find(waiting.route);
    if (known == service.routes.end() || !known->second.baseline.is_usable()) {
        return false;
    }
    const double ratio = known->second.baseline.ratio(waiting.age);
    if (ratio < min_ratio) {
        return false;
    }
    known->second.shared_cause.add_outstanding(position.target, ratio);
    service.shared_cause.add_outstanding(position.target, ratio);
    service.outstanding_routes.push_back(waiting.route);
    shared_cause.add_outstanding(global_target_number(position), ratio);
    return true;
}

void monitor_state::count_outstanding(const outstanding_event& waiting,
                                      const target_position& position, instant now) {
    auto& service = services[position.service];
    const auto& route = service.routes[waiting.route];
    const double ratio = route.baseline.ratio(waiting.age) / shared_slowdown(position, route, now);
    auto& counted = counted_outstanding[outstanding_key(waiting.request, waiting.target)];
    counted.seen = now;
    const double nats = ratio < min_ratio ? 0.0 : outstanding_llr(ratio, service.point);
    if (nats - counted.nats >= min_gain) {
        add_evidence(position, nats - counted.nats, 0);
        counted.nats = nats;
    }
}

} // namespace wigeonrill::health
