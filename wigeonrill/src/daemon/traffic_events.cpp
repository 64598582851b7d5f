#include "wigeonrill/daemon.h"

namespace wigeonrill::daemon {

namespace {

// About 1 s of events at 10 times the 2,000 requests/s that one node is measured with.
constexpr std::size_t event_capacity = 65'536;

std::string_view sentence_of(traffic::step_kind kind) {
    switch (kind) {
    case traffic::step_kind::send:
        return "Request placed.";
    case traffic::step_kind::forward:
        return "Request forwarded to the owner of its key.";
    case traffic::step_kind::replay:
        return "Stored answer sent.";
    case traffic::step_kind::refuse:
        return "Request refused.";
    }
    return "Request decided.";
}

observe::log_line line_of(const dispatch::decision_record& decision) {
    observe::log_line line(sentence_of(decision.kind));
    line.with("request", static_cast<std::int64_t>(decision.request));
    if (!decision.name.empty()) {
        line.with("id", decision.name);
    }
    if (!decision.route.value.empty()) {
        line.with("route", decision.route.value).with("service", decision.service.value);
    }
    if (decision.kind == traffic::step_kind::send) {
        line.with("target", decision.target.value)
            .with("candidates", static_cast<std::int64_t>(decision.candidates))
            .with("attempt", static_cast<std::int64_t>(decision.attempt));
    }
    if (decision.kind == traffic::step_kind::forward) {
        line.with("owner", to_string(decision.address));
    }
    if (decision.kind == traffic::step_kind::refuse) {
        line.with("refusal", decision.refusal)
            .with("outcome", enum_name(traffic::outcome_names, decision.result));
    }
    return line.with("reason", decision.reason).with("waited_ms", decision.waited);
}

} // namespace

traffic_events::traffic_events(observe::log_sink& log) : log_(log), queue_(event_capacity) {}

void traffic_events::on_answer(const health::answer& answer) {
    queue_.push(answer);
}

void traffic_events::on_crash_mark(const once::crash_mark& mark) {
    tell_at_once(mark);
}

void traffic_events::on_observation(const health::observation& seen) {
    // Counts come with every request; what changes a belief comes without one.
    if (seen.outstanding < 0 && log_.enabled(observe::log_level::info)) {
        log_.write(observe::log_level::info, observe::log_part::health,
                   observe::log_line("Target observed.")
                       .with("service", seen.service.value)
                       .with("target", seen.target.value)
                       .with("kind", enum_name(health::observation_kind_names, seen.kind)));
    }
    tell_at_once(seen);
}

void traffic_events::tell_at_once(traffic_event event) {
    queue_.push(std::move(event));
    if (urgent_) {
        urgent_();
    }
}

void traffic_events::on_decision(const dispatch::decision_record& decision) {
    if (log_.enabled(observe::log_level::info)) {
        log_.write(observe::log_level::info, observe::log_part::route, line_of(decision));
    }
    queue_.push(decision);
}

} // namespace wigeonrill::daemon
