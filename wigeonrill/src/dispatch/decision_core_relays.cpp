#include "wigeonrill/dispatch.h"

#include <algorithm>

// Members of decision_core for a node that is cut off from the targets: other nodes that reach them
// serve the requests of its callers.

namespace wigeonrill::dispatch {

namespace {

// Number of nodes that one request is passed to.
constexpr std::size_t max_relays = 3;
// Number of connections per round of checks. One that succeeds ends the checks.
constexpr std::size_t checks_per_round = 3;
constexpr milliseconds check_interval{250};

std::size_t count_targets(const routing::view& view) {
    std::size_t n = 0;
    for (const auto& it : view.services) {
        n += it.eligible.size();
    }
    return n;
}

// Returns whether another node refused what this node has allowed, for a reason that doesn't lie in
// the room or in the time that is left: one of the two has other rules in force. Nothing has run.
bool is_disagreement(const traffic::attempt_result& attempt) {
    const bool is_final =
        attempt.status >= 400 && attempt.status < 500 && !traffic::implies_not_run(attempt.status);
    return attempt.node_refusal == traffic::outcome::not_run && is_final;
}

} // namespace

std::vector<connection_check> decision_core::connection_checks(instant now) {
    std::vector<connection_check> checks;
    if (!view_ || !reachability_.needs_checks(now) || now < next_connection_checks_) {
        return checks;
    }
    next_connection_checks_ = now + check_interval;
    std::vector<const routing::service_view*> services;
    for (const auto& it : view_->services) {
        if (!it.eligible.empty()) {
            services.push_back(&it);
        }
    }
    for (std::size_t i = 0; i < checks_per_round && !services.empty(); ++i) {
        const auto& service = *services[random_.next_below(services.size())];
        const auto& it = service.eligible[random_.next_below(service.eligible.size())];
        checks.push_back({service.service->name, it.target->id, it.target->address});
    }
    return checks;
}

void decision_core::observe_connection(const request_record& record,
                                       const traffic::attempt_result& attempt, instant now) {
    const bool failed = attempt.kind == health::answer_kind::connect_failed;
    if (failed || attempt.connected) {
        reachability_.on_connection(record.chosen_service, record.assigned_target->id, !failed,
                                    now);
    }
}

void decision_core::update_reachability_size() {
    const auto services = std::ranges::count_if(
        view_->services, [](const routing::service_view& it) { return !it.eligible.empty(); });
    reachability_.set_size(static_cast<std::size_t>(services), count_targets(*view_));
}

bool decision_core::handle_while_cut_off(request_record& record, instant now) {
    if (!reachability_.is_cut_off()) {
        return false;
    }
    if (record.info.is_passed_on()) {
        // Another node passed the request on before it knew that this one is cut off as well.
        refuse(record, refusal_kind::unreachable, outcome_of(record), now, seconds(1));
        return true;
    }
    return try_relay(record, "this node reaches no target", now);
}

// A request whose key this node owns must not be run by another one. A request that a target may
// have run isn't passed on, since the other node doesn't know how many targets may still run it.
bool decision_core::try_relay(request_record& record, std::string reason, instant now) {
    if (record.info.is_passed_on() || record.holds_key || record.inconclusive_attempts > 0 ||
        record.tried_relays.size() >= max_relays) {
        return false;
    }
    std::vector<const health::relay_node*> untried;
    for (const auto& it : relays_) {
        if (std::ranges::find(record.tried_relays, it.address) == record.tried_relays.end()) {
            untried.push_back(&it);
        }
    }
    if (untried.empty()) {
        return false;
    }
    const auto& chosen = *untried[random_.next_below(untried.size())];
    record.relay = chosen.address;
    if (chosen.checks_keys) {
        refund_credit(record, now); // The other node takes it.
    }
    record.relaying = true;
    record.reason = std::move(reason);
    ++record.attempts;
    traffic::step step;
    step.kind = traffic::step_kind::forward;
    step.address = record.relay;
    step.needs_fresh_connection = at_most_once(record);
    set_next_step(record, std::move(step), {});
    return true;
}

bool decision_core::handle_relay_result(request_record& record,
                                        const traffic::attempt_result& attempt, clock_reading at) {
    const bool answered = is_answer(attempt.kind) || is_shed(attempt.kind);
    if (answered && has_unproven_status(record, attempt)) {
        record.relaying = false;
        refuse_unproven_status(record, attempt, at.now);
        return true;
    }
    const bool disagrees = is_disagreement(attempt);
    if (answered && !disagrees) {
        return false;
    }
    record.relaying = false;
    record.tried_relays.push_back(record.relay);
    const bool not_run = disagrees || !attempt.request_bytes_sent;
    record.inconclusive_attempts += not_run ? 0 : 1;
    const bool blocked = not_run && containment_.is_blocked(record.fingerprint, at.wall);
    const bool sendable = record.info.body_replayable || !attempt.request_bytes_sent;
    const bool wanted = attempt.kind != health::answer_kind::cancelled && sendable && !stopping_ &&
                        at.now < record.deadline;
    const std::string reason =
        disagrees ? "another node refused it" : "the connection to another node failed";
    if (blocked) {
        refuse(record, refusal_kind::contained, outcome_of(record), at.now);
    } else if (!wanted || !try_relay(record, reason, at.now)) {
        const auto kind = disagrees ? refusal_kind::nodes_disagree : refusal_of(attempt);
        refuse(record, kind, outcome_of(record), at.now,
               not_run ? std::optional(seconds(1)) : std::nullopt);
    }
    return true;
}

} // namespace wigeonrill::dispatch
