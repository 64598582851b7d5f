#include "wigeonrill/daemon.h"

// Members of control_loop that handle the events of traffic threads and the messages of peers.

namespace wigeonrill::daemon {

namespace {

using observe::log_level;
using observe::log_line;
using observe::log_subsystem;

// A notice of a leaving target is gossiped for this long. This can be short, because a peer that
// has received it sends the target no new requests for leaving_targets::lifetime.
constexpr seconds leaving_notice_lifetime{60};

double to_seconds(nanoseconds duration) {
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void control_loop::process_traffic_events() {
    for (const auto& event : dependencies_.events.take_all()) {
        std::visit([this](const auto& it) { handle(it); }, event);
    }
}

void control_loop::handle(const health::answer& answer) {
    if (probed_targets_.erase(answer.target) > 0) {
        monitor_.on_probe(answer);
    }
    monitor_.on_answer(answer);
    if (answer.draining) {
        announce_leaving_target(answer.service, answer.target,
                                {{answer.target_process.started_ms, health::any_registration}},
                                "answer");
    }
    log_unreadable_rate_limit(answer);
    log_pause(answer);
    dependencies_.metrics.increment_counter(
        "wigeonrill_attempts_total", "Attempts at targets by result.",
        {{"service", answer.service.value},
         {"result", std::string(enum_name(health::answer_kind_names, answer.kind))}});
    dependencies_.metrics.observe_summary(
        "wigeonrill_target_seconds", "Time from sending a request to the head of its answer.",
        {{"service", answer.service.value}}, to_seconds(answer.ended - answer.sent),
        dependencies_.clock.now());
}

void control_loop::log_unreadable_rate_limit(const health::answer& answer) {
    if (!answer.rate_limit.is_unreadable || !unreadable_limits_.insert(answer.target).second) {
        return;
    }
    write_log(log_level::warning, log_subsystem::health,
              log_line("Target names a rate limit that is no number of 0 or more; it is ignored.")
                  .with("service", answer.service.value)
                  .with("target", answer.target.value));
}

void control_loop::log_pause(const health::answer& answer) {
    if (answer.pause > nanoseconds(0)) {
        const auto ms = std::chrono::ceil<milliseconds>(answer.pause).count();
        write_log(log_level::info, log_subsystem::health,
                  log_line("Target takes no requests of this node for a while.")
                      .with("service", answer.service.value)
                      .with("target", answer.target.value)
                      .with("pause_ms", static_cast<std::int64_t>(ms)));
    }
}

void control_loop::handle(const health::rate_limit& notice) {
    log_rate_limit(notice, "answer");
    if (dependencies_.gossip != nullptr) {
        dependencies_.gossip->announce(notice);
    }
}

void control_loop::log_rate_limit(const health::rate_limit& notice, std::string_view source) {
    log_line line(notice.per_second ? "Target names a rate limit."
                                    : "Target names no rate limit any more.");
    line.with("service", notice.service.value).with("target", notice.target.value);
    if (notice.per_second) {
        line.with("per_second", std::to_string(*notice.per_second));
    }
    line.with("sequence", static_cast<std::int64_t>(notice.sequence)).with("source", source);
    write_log(log_level::info, log_subsystem::health, line);
}

void control_loop::announce_leaving_target(const service_name& service, const target_id& target,
                                           const health::leaving_notice& notice,
                                           std::string_view source) {
    const auto now = dependencies_.clock.now();
    if (monitor_.on_leaving(target, notice, now)) {
        log_leaving_target(service, target, notice, source);
    }
    if (dependencies_.gossip == nullptr) {
        return;
    }
    health::verdict told;
    told.service = service;
    told.target = target;
    told.state = notice.leaves ? health::target_state::leaving : health::target_state::healthy;
    told.judge = dependencies_.gossip->id();
    told.sequence = sequence_now(dependencies_.clock);
    told.expires = now + leaving_notice_lifetime;
    told.about = notice.about;
    told.order = notice.order;
    dependencies_.gossip->announce(told, {});
}

void control_loop::log_leaving_target(const service_name& service, const target_id& target,
                                      const health::leaving_notice& notice,
                                      std::string_view source) {
    log_line line(notice.leaves ? "Target leaves; it gets no new requests."
                                : "Target doesn't leave any more.");
    line.with("service", service.value)
        .with("target", target.value)
        .with("started_ms", static_cast<std::int64_t>(notice.about.started_ms));
    if (notice.about.created != health::any_registration) {
        line.with("created", static_cast<std::int64_t>(notice.about.created));
    }
    write_log(log_level::info, log_subsystem::health, line.with("source", source));
}

void control_loop::handle(const dispatch::decision_record& decision) {
    const bool refused = decision.kind == traffic::step_kind::refuse;
    dependencies_.metrics.increment_counter(
        "wigeonrill_decisions_total", "Decisions on requests.",
        {{"service", decision.service.value}, {"refusal", refused ? decision.refusal : ""}});
    if (refused && !decision.route.value.empty()) {
        dependencies_.metrics.increment_counter("wigeonrill_refusals_total",
                                                "Refused requests by priority.",
                                                {{"service", decision.service.value},
                                                 {"refusal", decision.refusal},
                                                 {"priority", std::to_string(decision.priority)}});
    }
    dependencies_.metrics.observe_summary("wigeonrill_queue_seconds",
                                          "Time that requests waited for a slot.",
                                          {{"service", decision.service.value}},
                                          to_seconds(decision.waited), dependencies_.clock.now());
}

void control_loop::log_crash_mark(const once::crash_mark& mark, std::string_view source) {
    write_log(log_level::info, log_subsystem::once,
              log_line("Target crashed while it ran a request.")
                  .with("fingerprint", once::fingerprint_text(mark.fingerprint))
                  .with("target", mark.target.value)
                  .with("source", source));
}

void control_loop::handle(const once::crash_mark& mark) {
    log_crash_mark(mark, "connection");
    monitor_.on_crash_mark(mark.fingerprint, mark.target, dependencies_.clock.now());
    if (dependencies_.gossip != nullptr) {
        dependencies_.gossip->announce(mark);
    }
}

void control_loop::process_peer_messages() {
    if (dependencies_.gossip == nullptr) {
        return;
    }
    const auto now = dependencies_.clock.now();
    if (const auto confirmed = dependencies_.gossip->confirmed();
        confirmed > store_.confirmed_at()) {
        store_.confirm(store_.version(), confirmed);
        dependencies_.dispatcher.set_config_confirmed_at(confirmed);
    }
    const auto items = dependencies_.gossip->take_inbox();
    for (const auto& it : items.evidence) {
        monitor_.on_evidence(it, now);
    }
    for (const auto& it : items.verdicts) {
        if (health::is_news_of_leaving(it)) {
            const health::leaving_notice notice{it.about, it.order,
                                                it.state == health::target_state::leaving};
            if (monitor_.on_leaving(it.target, notice, now)) {
                log_leaving_target(it.service, it.target, notice, "peer");
            }
        } else {
            monitor_.on_verdict(it, now);
        }
    }
    for (const auto& it : items.observations) {
        dependencies_.dispatcher.on_peer_observation(it);
    }
    for (const auto& it : items.rate_limits) {
        if (dependencies_.dispatcher.on_peer_rate_limit(it)) {
            log_rate_limit(it, "peer");
        }
    }
    for (const auto& [from, ask] : items.credit_asks) {
        answer_credit_ask(from, ask);
    }
    for (const auto& [from, grant] : items.credit_grants) {
        dependencies_.dispatcher.on_credit_grant(from, grant);
    }
    if (items.reading) {
        handle_peer_reading(*items.reading);
    }
    for (const auto& it : items.marks) {
        log_crash_mark(it, "peer");
        monitor_.on_crash_mark(it.fingerprint, it.target, now);
        dependencies_.dispatcher.add_crash_mark(it);
    }
}

void control_loop::announce_observations() {
    if (dependencies_.gossip != nullptr) {
        dependencies_.gossip->announce(pending_observations_, group_.others);
    }
    pending_observations_.clear();
}

} // namespace wigeonrill::daemon
