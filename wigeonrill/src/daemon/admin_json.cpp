#include "wigeonrill/daemon.h"

#include "wigeonrill/src/daemon/admin_json.h"

#include <algorithm>

namespace wigeonrill::daemon {

namespace {

using dispatch::target_obstacle;
using nlohmann::ordered_json;

ordered_json workspace_json(const dispatch::explained_request& request,
                            const dispatch::explanation& found) {
    if (request.workspace.empty()) {
        return nullptr;
    }
    ordered_json it;
    it["name"] = request.workspace;
    it["known"] = found.workspace.has_value();
    const double limit = found.workspace ? found.workspace->requests_per_second : 0.0;
    it["requests_per_second"] = limit > 0.0 ? ordered_json(limit) : ordered_json();
    return it;
}

ordered_json refusal_json(const dispatch::explanation& found) {
    if (found.refusal) {
        return dispatch::make_refusal(*found.refusal, traffic::outcome::not_run).type;
    }
    return found.is_body_too_large ? ordered_json("body-too-large") : ordered_json();
}

ordered_json service_json(const dispatch::service_explanation& service) {
    ordered_json it;
    it["service"] = service.name.value;
    it["share"] = service.share;
    it["decision"] = enum_name(dispatch::service_decision_names, service.decision);
    it["waiting"] = service.waiting;
    it["estimated_wait_ms"] =
        std::chrono::duration_cast<milliseconds>(service.estimated_wait).count();
    return it;
}

ordered_json target_json(const dispatch::target_explanation& shown) {
    const auto& state = shown.state;
    ordered_json it;
    it["limit"] = shown.limit;
    it["outstanding"] = state.outstanding;
    it["of_other_nodes"] = state.peer_outstanding;
    it["reported_load"] = state.reported_load;
    it["failure_probability"] = state.failure_probability;
    it["expected_cost"] = shown.obstacle == target_obstacle::not_eligible
                              ? ordered_json()
                              : ordered_json(shown.expected_cost);
    const bool is_free = shown.obstacle == target_obstacle::none;
    it["obstacle"] =
        is_free ? ordered_json() : enum_name(dispatch::target_obstacle_names, shown.obstacle);
    it["choice"] = shown.awaits_probe ? "probe" : (shown.is_choice ? "yes" : "no");
    return it;
}

/// Appends the targets of a service: what the control thread knows, then what the dispatcher does.
void append_targets(const dispatch::service_explanation& service,
                    const std::vector<target_row>& rows, ordered_json& targets) {
    for (const auto& shown : service.targets) {
        const auto row = std::ranges::find_if(rows, [&](const target_row& it) {
            return it.service == service.name && it.target.id == shown.id;
        });
        ordered_json it;
        if (row != rows.end()) {
            it = target_row_json(*row);
        } else {
            it["service"] = service.name.value;
            it["target"] = shown.id.value;
        }
        it.update(target_json(shown));
        targets.push_back(std::move(it));
    }
}

} // namespace

ordered_json target_row_json(const target_row& row) {
    ordered_json it;
    it["service"] = row.service.value;
    it["target"] = row.target.id.value;
    it["address"] = to_string(row.target.address);
    it["domain"] = row.target.domain.value;
    it["slots"] = row.target.slots;
    it["state"] = enum_name(health::target_state_names, row.status.state);
    it["gets_work"] = row.eligible;
    it["weight"] = row.weight;
    it["severity"] = row.status.severity;
    it["reason"] =
        row.kept_for_floor ? row.status.reason + "; kept in use for the floor" : row.status.reason;
    return it;
}

std::string explanation_json(const dispatch::explained_request& request,
                             const dispatch::explanation& found,
                             const std::vector<target_row>& rows) {
    ordered_json it;
    it["route"] = found.route->name.value;
    it["repeat"] = enum_name(config::repeat_policy_names, found.route->repeat);
    it["time_left_ms"] = found.time_left.count();
    it["workspace"] = workspace_json(request, found);
    it["refusal"] = refusal_json(found);
    it["reaches_targets"] = !found.is_cut_off;
    it["services"] = ordered_json::array();
    it["targets"] = ordered_json::array();
    for (const auto& service : found.services) {
        it["services"].push_back(service_json(service));
        append_targets(service, rows, it["targets"]);
    }
    return it.dump();
}

} // namespace wigeonrill::daemon
