#include "wigeonrill/dispatch.h"

#include <algorithm>

// Members of decision_core that explain where a request would go now. They follow the stages of
// begin_request(), but change nothing. A request's key and fingerprint aren't known here.

namespace wigeonrill::dispatch {

namespace {

const routing::service_view* find_view(const routing::view& view, const service_name& name) {
    const auto it = std::ranges::find_if(
        view.services, [&](const routing::service_view& one) { return one.service->name == name; });
    return it == view.services.end() ? nullptr : &*it;
}

std::vector<service_explanation> services_of(const config::route& route) {
    std::vector<service_explanation> services;
    double total = 0.0;
    for (const auto& it : route.split) {
        total += static_cast<double>(it.weight);
    }
    for (const auto& it : route.split) {
        service_explanation one;
        one.name = it.service;
        one.share = static_cast<double>(it.weight) / total;
        services.push_back(std::move(one));
    }
    if (services.empty()) {
        services.emplace_back().name = route.service;
    }
    return services;
}

service_decision decide(const service_explanation& service) {
    const auto has = [&](auto&& is_such) { return std::ranges::any_of(service.targets, is_such); };
    const bool is_any_usable = has([](const target_explanation& it) {
        return it.obstacle != target_obstacle::not_eligible &&
               it.obstacle != target_obstacle::draining &&
               it.obstacle != target_obstacle::misdirected;
    });
    if (!is_any_usable) {
        return service_decision::refused;
    }
    if (has([](const target_explanation& it) { return it.awaits_probe; })) {
        return service_decision::sent;
    }
    const bool is_any_free =
        has([](const target_explanation& it) { return it.obstacle == target_obstacle::none; });
    return is_any_free && service.waiting == 0 ? service_decision::sent : service_decision::waits;
}

} // namespace

explanation decision_core::explain(const explained_request& request, instant now) const {
    explanation found;
    if (stopping_ || !view_) {
        found.refusal = stopping_ ? refusal_kind::stopping : refusal_kind::not_ready;
        return found;
    }
    const auto match = table_->find(request.host, request.method, request.path);
    if (match.route == nullptr) {
        const auto missing =
            match.path_matched ? refusal_kind::method_not_allowed : refusal_kind::no_route;
        found.refusal = match.path_valid ? missing : refusal_kind::bad_path;
        return found;
    }
    const auto& route = *match.route;
    found.route = route;
    found.is_body_too_large = request.body_bytes > route.max_body_bytes;
    found.time_left = std::min(request.time_left.value_or(milliseconds::max()), route.limits.total);
    found.is_cut_off = is_cut_off();
    if (!request.workspace.empty()) {
        const auto* workspace = workspaces_->find(request.workspace);
        found.workspace = workspace ? std::optional(*workspace) : std::nullopt;
    }
    found.refusal = refusal_before_service(found, now);
    if (!found.refusal) {
        found.services = services_of(route);
        for (auto& it : found.services) {
            explain_service(it, route, now);
        }
    }
    return found;
}

std::optional<refusal_kind> decision_core::refusal_before_service(const explanation& found,
                                                                  instant now) const {
    const bool checks_key =
        view_->configuration->authentication == config::caller_authentication::api_key;
    if (checks_key && found.route->needs_api_key && !found.workspace) {
        return refusal_kind::unauthenticated;
    }
    if (!takes_requests(now)) {
        return refusal_kind::stopping;
    }
    if (found.time_left.count() <= 0) {
        return refusal_kind::deadline_passed;
    }
    return std::nullopt;
}

void decision_core::explain_service(service_explanation& shown, const config::route& route,
                                    instant now) const {
    const auto* view = find_view(*view_, shown.name);
    if (view == nullptr) {
        return; // refused: the service isn't configured
    }
    if (const auto it = services_.find(shown.name); it != services_.end()) {
        const auto& service = *it->second;
        shown.targets = service.explain(*view, route.repeat, now);
        shown.waiting = service.waiting.size();
        shown.estimated_wait = service.waiting.estimated_wait();
    } else {
        // No request has used the service, so nothing is known beyond the view and the limits.
        auto limits = rate_limits_;
        service_state unused(options_.make_policy(), limits, options_.own_domain);
        unused.set_group(group_);
        shown.targets = unused.explain(*view, route.repeat, now);
    }
    shown.decision = decide(shown);
}

} // namespace wigeonrill::dispatch
