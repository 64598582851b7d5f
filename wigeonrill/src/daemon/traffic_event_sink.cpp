#include "wigeonrill/daemon.h"

namespace wigeonrill::daemon {

namespace {

// Events of about 1 s at 10 times the load with which one node is measured, 2,000 requests/s.
constexpr std::size_t event_capacity = 65'536;

std::string_view decision_sentence(traffic::step_kind kind) {
    switch (kind) {
    case traffic::step_kind::send:
        return "Request placed.";
    case traffic::step_kind::forward:
        return "Request passed to another node.";
    case traffic::step_kind::replay:
        return "Stored answer sent.";
    case traffic::step_kind::refuse:
        return "Request refused.";
    }
    return "Request decided.";
}

observe::log_line decision_line(const dispatch::decision_record& decision) {
    observe::log_line line(decision_sentence(decision.kind));
    line.with("request", static_cast<std::int64_t>(decision.request));
    if (!decision.name.empty()) {
        line.with("id", decision.name);
    }
    if (decision.configuration_version != 0) {
        line.with("version", static_cast<std::int64_t>(decision.configuration_version));
    }
    if (!decision.route.value.empty()) {
        line.with("route", decision.route.value)
            .with("service", decision.service.value)
            .with("priority", static_cast<std::int64_t>(decision.priority));
    } else {
        line.with("host", decision.host).with("path", decision.path);
    }
    if (decision.kind == traffic::step_kind::send) {
        line.with("target", decision.target.value)
            .with("candidates", static_cast<std::int64_t>(decision.candidates))
            .with("attempt", static_cast<std::int64_t>(decision.attempt));
    }
    if (decision.kind == traffic::step_kind::forward) {
        line.with("node", to_string(decision.address));
    }
    if (decision.kind == traffic::step_kind::refuse) {
        line.with("refusal", decision.refusal)
            .with("outcome", enum_name(traffic::outcome_names, decision.result));
    }
    if (decision.contained_fingerprint != 0) {
        line.with("fingerprint", once::fingerprint_text(decision.contained_fingerprint));
    }
    if (!decision.workspace.value.empty()) {
        line.with("workspace", decision.workspace.value);
    }
    return line.with("reason", decision.reason).with("waited_ms", decision.waited);
}

} // namespace

traffic_event_sink::traffic_event_sink(observe::log_sink& log)
    : log_(log), queue_(event_capacity) {}

void traffic_event_sink::on_answer(const health::answer& answer) {
    queue_.push(answer);
}

void traffic_event_sink::on_crash_mark(const once::crash_mark& mark) {
    push_urgent(mark);
}

void traffic_event_sink::on_observation(const health::observation& observed) {
    // An observation with a count of outstanding requests follows every request and is not logged.
    // One without a count says something about the health of the target.
    if (observed.outstanding < 0 && log_.enabled(observe::log_level::info)) {
        log_.write(observe::log_level::info, observe::log_subsystem::health,
                   observe::log_line("Target observed.")
                       .with("service", observed.service.value)
                       .with("target", observed.target.value)
                       .with("kind", enum_name(health::observation_kind_names, observed.kind)));
    }
    push_urgent(observed);
}

void traffic_event_sink::on_rate_limit(const health::rate_limit& notice) {
    push_urgent(notice);
}

void traffic_event_sink::on_credit_ask(const quota::outgoing_ask& ask) {
    push_urgent(ask);
}

void traffic_event_sink::push_urgent(traffic_event event) {
    queue_.push(std::move(event));
    if (urgent_listener_) {
        urgent_listener_();
    }
}

void traffic_event_sink::on_decision(const dispatch::decision_record& decision) {
    if (log_.enabled(observe::log_level::info)) {
        log_.write(observe::log_level::info, observe::log_subsystem::route,
                   decision_line(decision));
    }
    queue_.push(decision);
}

} // namespace wigeonrill::daemon
