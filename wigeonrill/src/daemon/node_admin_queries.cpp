#include "wigeonrill/daemon.h"

#include "wigeonrill/src/daemon/admin_json.h"

namespace wigeonrill::daemon {

namespace {

using nlohmann::ordered_json;

// Returns all targets, or an empty list when the control thread does not answer in time.
std::vector<target_row> query_target_rows(control_thread& control) {
    auto rows = control.run_query([](control_loop& loop) { return loop.targets(); });
    return rows ? std::move(*rows) : std::vector<target_row>{};
}

} // namespace

node_admin_queries::node_admin_queries(node_identity identity, const control_loop& loop,
                                       control_thread& control,
                                       const dispatch::request_dispatcher& dispatcher,
                                       const observe::metric_registry& metrics,
                                       const clock_source& clock)
    : identity_(std::move(identity)), loop_(loop), control_(control), dispatcher_(dispatcher),
      metrics_(metrics), clock_(clock) {}

bool node_admin_queries::ready() const {
    return started_ && !draining_ && loop_.state()->configuration != nullptr;
}

std::string node_admin_queries::metrics() const {
    return metrics_.prometheus_text();
}

std::string node_admin_queries::status_json() const {
    const auto state = loop_.state();
    ordered_json it;
    it["version"] = WIGEONRILL_VERSION;
    it["node"] = identity_.name;
    it["domain"] = identity_.domain.value;
    it["incarnation"] = identity_.incarnation;
    it["ready"] = ready();
    it["draining"] = draining_.load();
    it["config_version"] = state->configuration ? state->configuration->version : 0;
    it["uptime_s"] = std::chrono::duration_cast<seconds>(clock_.now() - identity_.started).count();
    it["requests_active"] = dispatcher_.active();
    it["requests_waiting"] = dispatcher_.waiting();
    it["peers"] = state->peers_by_state;
    it["control_bytes_sent"] = state->control_bytes_sent;
    it["control_bytes_received"] = state->control_bytes_received;
    return it.dump();
}

std::string node_admin_queries::targets_json() const {
    auto rows = ordered_json::array();
    for (const auto& it : query_target_rows(control_)) {
        rows.push_back(target_row_json(it));
    }
    return rows.dump();
}

std::string node_admin_queries::config_json() const {
    const auto state = loop_.state();
    ordered_json it;
    it["config_version"] = state->configuration ? state->configuration->version : 0;
    it["confirmed"] = config::format_time(state->confirmed);
    it["rejected"] = state->rejection ? ordered_json(to_string(*state->rejection)) : nullptr;
    return it.dump();
}

result<std::string>
node_admin_queries::explain_json(const dispatch::explained_request& request) const {
    if (!loop_.state()->configuration) {
        return failed(error_kind::unavailable, "this node has no configuration yet",
                      "see the log lines that begin with \"config:\"");
    }
    const auto found = dispatcher_.explain(request);
    if (!found.route) {
        const bool other_method = found.refusal == dispatch::refusal_kind::method_not_allowed;
        return failed(error_kind::not_found,
                      other_method
                          ? "no route for " + request.path + " allows the method " + request.method
                          : "no route matches " + request.path,
                      "compare host, method and path with the routes of the configuration");
    }
    return explanation_json(request, found, query_target_rows(control_));
}

} // namespace wigeonrill::daemon
