#include "wigeonrill/src/health/monitor_state.h"

#include <algorithm>

namespace wigeonrill::health {

namespace {

// A smaller gain is not worth a report; it comes with the next one.
constexpr double least_gain = 0.3;
// Younger requests, in baselines of their route, are normal and would cost reports.
constexpr double least_ratio = 1.0;
// Requests whose end was never reported.
constexpr seconds credit_lifetime{120};

std::uint64_t credit_key(std::uint64_t request, const target_id& target) {
    return mix_bits(request) ^ stable_hash(target.value);
}

} // namespace

double monitor_state::take_credit(std::uint64_t request, const target_id& target) {
    if (request == 0) {
        return 0.0;
    }
    const auto it = credits.find(credit_key(request, target));
    if (it == credits.end()) {
        return 0.0;
    }
    const double nats = it->second.nats;
    credits.erase(it);
    return nats;
}

void monitor_state::take_outstanding(instant now) {
    shared.clear_outstanding();
    for (auto& service : services) {
        for (auto& route : service.outstanding_routes) {
            service.routes[route].shared.clear_outstanding();
        }
        service.outstanding_routes.clear();
        service.shared.clear_outstanding();
    }
    std::vector<std::pair<target_place, const outstanding_event*>> waiting;
    for (const auto& it : outstanding) {
        target_place place;
        if (find(it.service, it.target, place) && !in_pause(now - it.age, now) &&
            !is_cold(place, now) && note_outstanding(it, place)) {
            waiting.emplace_back(place, &it);
        }
    }
    for (const auto& [place, it] : waiting) {
        credit_outstanding(*it, place, now);
    }
    outstanding.clear();
    std::erase_if(credits, [&](const auto& it) { return now - it.second.seen > credit_lifetime; });
}

bool monitor_state::note_outstanding(const outstanding_event& waiting, const target_place& place) {
    auto& service = services[place.service];
    const auto known = service.routes.find(waiting.route);
    if (known == service.routes.end() || !known->second.baseline.is_usable()) {
        return false;
    }
    const double ratio = known->second.baseline.ratio(waiting.age);
    if (ratio < least_ratio) {
        return false;
    }
    known->second.shared.add_outstanding(place.target, ratio);
    service.shared.add_outstanding(place.target, ratio);
    service.outstanding_routes.push_back(waiting.route);
    shared.add_outstanding(node_number(place), ratio);
    return true;
}

void monitor_state::credit_outstanding(const outstanding_event& waiting, const target_place& place,
                                       instant now) {
    auto& service = services[place.service];
    const auto& route = service.routes[waiting.route];
    const double ratio = route.baseline.ratio(waiting.age) / shared_slowdown(place, route, now);
    auto& credit = credits[credit_key(waiting.request, waiting.target)];
    credit.seen = now;
    const double nats = ratio < least_ratio ? 0.0 : outstanding_llr(ratio, service.point);
    if (nats - credit.nats >= least_gain) {
        add_evidence(place, nats - credit.nats, 0);
        credit.nats = nats;
    }
}

} // namespace wigeonrill::health
