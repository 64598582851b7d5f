#include "wigeonrill/daemon.h"

namespace wigeonrill::daemon {

namespace {

using observe::log_level;
using observe::log_line;
using observe::log_part;

// The administration port shows a state at most this old: 10 ticks of 50 ms.
constexpr std::uint64_t ticks_between_states = 10;
// Going through 3,700 members on each tick would take over 1% of a core; once a second is enough,
// because an aggregator's death is noticed after seconds anyway.
constexpr std::uint64_t ticks_between_members = 20;
// The monitor asks again 5 s after a probe; an older wish must not add to the next.
constexpr seconds probe_wait{4};
// Peers keep the target out of work for 10 minutes by themselves; this only bounds the gossip.
constexpr seconds leaving_notice_lifetime{60};

double to_seconds(nanoseconds duration) {
    return std::chrono::duration<double>(duration).count();
}

std::uint64_t nanoseconds_since_epoch(const clock_source& clock) {
    return static_cast<std::uint64_t>(clock.wall_now().time_since_epoch() / nanoseconds(1));
}

health::monitor_options options_of(node_id self, domain_name domain, const clock_source& clock) {
    health::monitor_options options;
    options.self = std::move(self);
    options.domain = std::move(domain);
    options.tick_period = control_loop::tick_period;
    // The start time in nanoseconds grows from one process to its successor.
    options.first_sequence = nanoseconds_since_epoch(clock);
    return options;
}

} // namespace

control_loop::control_loop(control_parts parts, node_id self, domain_name domain)
    : parts_(parts), monitor_(options_of(std::move(self), std::move(domain), parts.clock)),
      state_(std::make_shared<node_state>()) {}

config::apply_outcome control_loop::offer(const config::change_set& changes,
                                          std::string_view source) {
    const auto outcome = store_.apply(changes, parts_.clock.wall_now());
    log_line line("Configuration offered.");
    line.with("version", static_cast<std::int64_t>(changes.version))
        .with("source", source)
        .with("result", enum_name(config::apply_outcome_names, outcome));
    if (outcome == config::apply_outcome::rejected && store_.last_rejection()) {
        line.with("reason", to_string(*store_.last_rejection()));
        write(log_level::error, log_part::config, line);
        if (parts_.gossip != nullptr) {
            parts_.gossip->reject_config(changes.version);
        }
        return outcome;
    }
    if (outcome != config::apply_outcome::not_newer) {
        write(log_level::info, log_part::config, line);
    }
    if (outcome == config::apply_outcome::accepted) {
        adopt_configuration();
    }
    return outcome;
}

void control_loop::confirm(std::uint64_t version) {
    const auto now = parts_.clock.wall_now();
    store_.confirm(version, now);
    parts_.dispatcher.set_confirmed(store_.confirmed());
    if (parts_.gossip != nullptr && version == store_.version()) {
        parts_.gossip->confirm_by_platform(now);
    }
}

void control_loop::adopt_configuration() {
    const auto configuration = store_.current();
    routes_ = std::make_shared<routing::route_table>(configuration);
    monitor_.configure(configuration, parts_.clock.now());
    if (parts_.gossip != nullptr) {
        parts_.gossip->set_vms(configuration->vms);
        parts_.gossip->set_config(store_.version(), store_.digest());
    }
    plans_changed_ = true;
    publish();
    use_peer_reading();
    if (adopted_) {
        adopted_();
    }
}

platform::held_version control_loop::held() const {
    return {store_.version(), store_.digest(), store_.entries()};
}

std::vector<target_row> control_loop::targets() const {
    const auto configuration = store_.current();
    return configuration ? list_targets(*configuration, monitor_) : std::vector<target_row>{};
}

config::change_set control_loop::changes_since(std::uint64_t version) const {
    return store_.changes_since(version);
}

void control_loop::run_once() {
    const auto now = parts_.clock.now();
    if (parts_.gossip != nullptr && ticks_ % ticks_between_members == 0) {
        take_members();
    }
    exchange_news();
    for (const auto& it : parts_.dispatcher.outstanding()) {
        monitor_.on_outstanding(it.service, it.target, it.route, now - it.sent, it.request);
    }
    const auto actions = monitor_.tick(now);
    carry_out(actions);
    parts_.dispatcher.tick();
    plans_changed_ = plans_changed_ || actions.plans_changed;
    if (plans_changed_ || ticks_ % ticks_between_states == 0) {
        publish();
    }
    ++ticks_;
}

void control_loop::exchange_news() {
    take_traffic_events();
    tell_observed();
    take_peer_items();
}

void control_loop::take_traffic_events() {
    for (const auto& event : parts_.events.take_all()) {
        std::visit([this](const auto& it) { take(it); }, event);
    }
}

void control_loop::take(const health::answer& answer) {
    if (probed_.erase(answer.target) > 0) {
        monitor_.on_probe(answer);
    }
    monitor_.on_answer(answer);
    if (answer.draining) {
        tell_leaving(answer);
    }
    parts_.metrics.count(
        "wigeonrill_attempts_total", "Attempts at targets by result.",
        {{"service", answer.service.value},
         {"result", std::string(enum_name(health::answer_kind_names, answer.kind))}});
    parts_.metrics.observe("wigeonrill_target_seconds",
                           "Time from sending a request to the head of its answer.",
                           {{"service", answer.service.value}},
                           to_seconds(answer.ended - answer.sent), parts_.clock.now());
}

void control_loop::tell_leaving(const health::answer& answer) {
    const auto now = parts_.clock.now();
    auto& told = leaving_told_[answer.target];
    if (parts_.gossip == nullptr || now < told) {
        return;
    }
    told = now + leaving_notice_lifetime;
    health::verdict notice;
    notice.service = answer.service;
    notice.target = answer.target;
    notice.state = health::target_state::leaving;
    notice.judge = parts_.gossip->id();
    notice.sequence = nanoseconds_since_epoch(parts_.clock);
    notice.expires = told;
    parts_.gossip->announce(notice, {});
}

void control_loop::take(const dispatch::decision_record& decision) {
    const bool refused = decision.kind == traffic::step_kind::refuse;
    parts_.metrics.count(
        "wigeonrill_decisions_total", "Decisions on requests.",
        {{"service", decision.service.value}, {"refusal", refused ? decision.refusal : ""}});
    parts_.metrics.observe("wigeonrill_queue_seconds", "Time that requests waited for a slot.",
                           {{"service", decision.service.value}}, to_seconds(decision.waited),
                           parts_.clock.now());
}

void control_loop::take(const once::crash_mark& mark) {
    monitor_.on_crash_mark(mark.fingerprint, mark.target, parts_.clock.now());
    if (parts_.gossip != nullptr) {
        parts_.gossip->announce(mark);
    }
}

void control_loop::take_peer_items() {
    if (parts_.gossip == nullptr) {
        return;
    }
    const auto now = parts_.clock.now();
    if (const auto confirmed = parts_.gossip->confirmed(); confirmed > store_.confirmed()) {
        store_.confirm(store_.version(), confirmed);
        parts_.dispatcher.set_confirmed(confirmed);
    }
    const auto items = parts_.gossip->take_inbox();
    for (const auto& it : items.evidence) {
        monitor_.on_evidence(it, now);
    }
    for (const auto& it : items.verdicts) {
        if (it.state == health::target_state::leaving) {
            monitor_.on_leaving(it.target, now);
        } else {
            monitor_.on_verdict(it, now);
        }
    }
    for (const auto& it : items.observations) {
        parts_.dispatcher.observe(it);
    }
    if (items.reading) {
        take_peer_reading(*items.reading);
    }
    for (const auto& it : items.marks) {
        monitor_.on_crash_mark(it.fingerprint, it.target, now);
        parts_.dispatcher.add_crash_mark(it);
    }
}

void control_loop::take_members() {
    std::vector<health::fleet_node> live;
    std::vector<node_id> ids;
    for (auto& it : parts_.gossip->live_nodes()) {
        ids.push_back(it.id);
        live.push_back({it.id, it.domain});
    }
    monitor_.set_nodes(std::move(live));
    set_group(platform::group_of(parts_.gossip->id(), ids));
    auto ips = std::make_shared<std::set<std::string>>();
    peers_by_state_.clear();
    for (const auto& it : parts_.gossip->status()) {
        ++peers_by_state_[std::string(enum_name(peers::member_state_names, it.state))];
        ips->insert(it.id.value.substr(0, it.id.value.rfind(':')));
    }
    peer_ips_ = std::move(ips);
}

void control_loop::carry_out(const health::monitor_actions& actions) {
    for (const auto& it : actions.log) {
        write(log_level::info, log_part::health,
              log_line(observe::without_prefix(it, log_part::health)));
    }
    for (const auto& it : actions.probes) {
        parts_.dispatcher.want_probe(it.service, it.target, probe_wait);
        probed_.insert(it.target);
    }
    if (parts_.gossip == nullptr) {
        return;
    }
    for (const auto& it : actions.reports) {
        parts_.gossip->report({it.to}, it.report);
    }
    for (const auto& it : actions.verdicts) {
        parts_.gossip->announce(it.content, it.to);
    }
}

void control_loop::publish() {
    const auto configuration = store_.current();
    auto next = std::make_shared<node_state>();
    if (configuration) {
        if (plans_changed_) {
            parts_.dispatcher.set_view(build_view(configuration, monitor_));
            plans_changed_ = false;
        }
        next->configuration = configuration;
        next->routes = routes_;
    }
    next->confirmed = store_.confirmed();
    next->rejection = store_.last_rejection();
    if (parts_.gossip != nullptr) {
        next->peers_by_state = peers_by_state_;
        next->peer_ips = peer_ips_;
        next->superseded = parts_.gossip->superseded();
        next->control_bytes_sent = parts_.gossip->counters().bytes_sent;
        next->control_bytes_received = parts_.gossip->counters().bytes_received;
    }
    const std::lock_guard lock(state_mutex_);
    state_ = std::move(next);
}

node_state_ptr control_loop::state() const {
    const std::lock_guard lock(state_mutex_);
    return state_;
}

void control_loop::write(log_level level, log_part part, const log_line& line) {
    parts_.log.write(level, part, line);
}

} // namespace wigeonrill::daemon
