#include "wigeonrill/daemon.h"

namespace wigeonrill::daemon {

namespace {

using observe::log_level;
using observe::log_line;
using observe::log_subsystem;

// Ticks between two publications while no plan changes, and so the maximum age of the state that
// the administration port shows: 10 ticks of 50 ms.
constexpr std::uint64_t ticks_per_state_publication = 10;
// Updating 3,700 members on each tick would take over 1% of a core. Once a second is enough,
// because the failure of a node that aggregates evidence is detected only after seconds.
constexpr std::uint64_t ticks_per_member_update = 20;
// Other nodes may be cut off at the same moment.
constexpr std::uint64_t ticks_per_relay_update_while_cut_off = 5;
// The monitor requests another probe 5 s after the last one. An unused request expires before that,
// so that requests for probes don't accumulate.
constexpr seconds probe_request_lifetime{4};
// A notice of a leaving target is gossiped for this long. This can be short, because a peer that
// has received it sends the target no new requests for leaving_targets::lifetime.
constexpr seconds leaving_notice_lifetime{60};

double to_seconds(nanoseconds duration) {
    return std::chrono::duration<double>(duration).count();
}

std::uint64_t nanoseconds_since_epoch(const clock_source& clock) {
    return static_cast<std::uint64_t>(clock.wall_now().time_since_epoch() / nanoseconds(1));
}

health::monitor_options make_monitor_options(node_id self, domain_name domain,
                                             const clock_source& clock) {
    health::monitor_options options;
    options.self = std::move(self);
    options.domain = std::move(domain);
    options.tick_period = control_loop::tick_period;
    // Start time in nanoseconds, so that sequence numbers are above those of the previous process.
    options.first_sequence = nanoseconds_since_epoch(clock);
    return options;
}

} // namespace

control_loop::control_loop(control_dependencies dependencies, node_id self, domain_name domain)
    : dependencies_(dependencies),
      monitor_(make_monitor_options(std::move(self), std::move(domain), dependencies.clock)),
      census_(dependencies.max_nodes), state_(std::make_shared<node_state>()) {}

config::apply_outcome control_loop::apply_changes(const config::change_set& changes,
                                                  std::string_view source) {
    const auto outcome = store_.apply(changes, dependencies_.clock.wall_now());
    log_line line("Configuration offered.");
    line.with("version", static_cast<std::int64_t>(changes.version))
        .with("rules_version", static_cast<std::int64_t>(changes.rules_version))
        .with("source", source)
        .with("result", enum_name(config::apply_outcome_names, outcome));
    if (outcome == config::apply_outcome::rejected ||
        outcome == config::apply_outcome::base_mismatch) {
        // Builds that send no content digest are compared by a digest with the shards' versions, so
        // that their content may be the same.
        line.with("base", static_cast<std::int64_t>(changes.base_version))
            .with("in_force", static_cast<std::int64_t>(store_.version()))
            .with("compared", changes.content_digest.empty() ? "shard_versions" : "content");
    }
    if (outcome == config::apply_outcome::rejected && store_.last_rejection()) {
        line.with("reason", to_string(*store_.last_rejection()));
        write_log(log_level::error, log_subsystem::config, line);
        if (dependencies_.gossip != nullptr) {
            dependencies_.gossip->reject_config(changes.version);
        }
        return outcome;
    }
    if (outcome == config::apply_outcome::older_rules && dependencies_.gossip != nullptr) {
        dependencies_.gossip->reject_config(changes.version);
    }
    if (outcome != config::apply_outcome::not_newer) {
        write_log(log_level::info, log_subsystem::config, line);
    }
    if (outcome == config::apply_outcome::accepted) {
        activate_configuration();
    }
    return outcome;
}

void control_loop::confirm(std::uint64_t version) {
    const auto now = dependencies_.clock.wall_now();
    store_.confirm(version, now);
    dependencies_.dispatcher.set_config_confirmed_at(store_.confirmed_at());
    if (dependencies_.gossip != nullptr && version == store_.version()) {
        dependencies_.gossip->confirm_by_platform(now);
    }
}

void control_loop::activate_configuration() {
    const auto configuration = store_.current();
    // Revisions of two eras can't be compared.
    const auto era = platform::era_of(configuration->version);
    if (std::exchange(era_, era) < era) {
        monitor_.forget_removed_registrations();
    }
    monitor_.configure(configuration, dependencies_.clock.now());
    if (dependencies_.gossip != nullptr) {
        dependencies_.gossip->set_vms(configuration->vms);
        dependencies_.gossip->set_config(store_.version(), store_.content_digest());
    }
    plans_changed_ = true;
    publish_state();
    notify_peer_reading_listener();
    if (configuration_listener_) {
        configuration_listener_();
    }
}

platform::version_in_force control_loop::current_version() const {
    return {store_.version(), store_.digest(), store_.shard_entries()};
}

std::vector<target_row> control_loop::targets() const {
    const auto configuration = store_.current();
    return configuration ? list_targets(*configuration, monitor_) : std::vector<target_row>{};
}

config::change_set control_loop::changes_since(std::uint64_t version) const {
    return store_.changes_since(version);
}

void control_loop::run_once() {
    const auto now = dependencies_.clock.now();
    detect_pause(now);
    if (dependencies_.gossip != nullptr && ticks_ % ticks_per_member_update == 0) {
        update_members();
    }
    exchange_events();
    update_reachability();
    for (const auto& it : dependencies_.dispatcher.outstanding()) {
        monitor_.on_outstanding(it.service, it.target, it.route, now - it.sent, it.request);
    }
    const auto actions = monitor_.tick(now);
    apply_monitor_actions(actions);
    dependencies_.dispatcher.tick();
    plans_changed_ = plans_changed_ || actions.plans_changed;
    if (plans_changed_ || ticks_ % ticks_per_state_publication == 0) {
        publish_state();
    }
    ++ticks_;
}

void control_loop::exchange_events() {
    process_traffic_events();
    announce_observations();
    process_peer_messages();
}

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
    told.sequence = nanoseconds_since_epoch(dependencies_.clock);
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

void control_loop::update_reachability() {
    const bool was_cut_off = std::exchange(cut_off_, dependencies_.dispatcher.is_cut_off());
    if (cut_off_ != was_cut_off) {
        write_log(log_level::warning, log_subsystem::daemon,
                  log_line(cut_off_ ? "This node reaches no target."
                                    : "This node reaches targets again."));
    }
    if (dependencies_.gossip == nullptr) {
        return;
    }
    dependencies_.gossip->announce_cut_off(cut_off_);
    const auto ticks_per_update =
        cut_off_ ? ticks_per_relay_update_while_cut_off : ticks_per_member_update;
    if (cut_off_ != was_cut_off || ticks_ % ticks_per_update == 0) {
        dependencies_.dispatcher.set_relays(dependencies_.gossip->relays());
    }
}

void control_loop::apply_monitor_actions(const health::monitor_actions& actions) {
    for (const auto& it : actions.log) {
        write_log(log_level::info, log_subsystem::health,
                  log_line(observe::without_prefix(it, log_subsystem::health)));
    }
    for (const auto& it : actions.probes) {
        dependencies_.dispatcher.request_probe(it.service, it.target, probe_request_lifetime);
        probed_targets_.insert(it.target);
    }
    if (dependencies_.gossip == nullptr) {
        return;
    }
    for (const auto& it : actions.reports) {
        dependencies_.gossip->report({it.to}, it.report);
    }
    for (const auto& it : actions.verdicts) {
        dependencies_.gossip->announce(it.content, it.to);
    }
}

void control_loop::publish_state() {
    const auto configuration = store_.current();
    auto next = std::make_shared<node_state>();
    if (configuration) {
        if (plans_changed_) {
            dependencies_.dispatcher.set_view(build_view(configuration, monitor_));
            plans_changed_ = false;
        }
        next->configuration = configuration;
    }
    next->confirmed = store_.confirmed_at();
    next->rejection = store_.last_rejection();
    if (dependencies_.gossip != nullptr) {
        next->peers_by_state = peers_by_state_;
        next->peer_ips = peer_ips_;
        publish_configuration_delay();
        next->superseded = dependencies_.gossip->superseded();
        next->control_bytes_sent = dependencies_.gossip->counters().bytes_sent;
        next->control_bytes_received = dependencies_.gossip->counters().bytes_received;
    }
    const std::lock_guard lock(state_mutex_);
    state_ = std::move(next);
}

node_state_ptr control_loop::state() const {
    const std::lock_guard lock(state_mutex_);
    return state_;
}

void control_loop::write_log(log_level level, log_subsystem subsystem, const log_line& line) {
    dependencies_.log.write(level, subsystem, line);
}

} // namespace wigeonrill::daemon
