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
health::monitor_options make_monitor_options(node_id self, domain_name domain,
                                             std::uint64_t first_sequence) {
    health::monitor_options options;
    options.self = std::move(self);
    options.domain = std::move(domain);
    options.tick_period = control_loop::tick_period;
    options.first_sequence = first_sequence;
    return options;
}

} // namespace

control_loop::control_loop(control_dependencies dependencies, node_id self, domain_name domain)
    : dependencies_(dependencies), monitor_(make_monitor_options(std::move(self), std::move(domain),
                                                                 sequence_now(dependencies.clock))),
      census_(dependencies.max_nodes), state_(std::make_shared<node_state>()) {}

std::uint64_t control_loop::sequence_now(const clock_source& clock) {
    return static_cast<std::uint64_t>(clock.wall_now().time_since_epoch() / nanoseconds(1));
}

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

config::change_set control_loop::changes_for(const config::change_base& base) const {
    return store_.changes_for(base);
}

config::change_base control_loop::base() const {
    return store_.base();
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
        next->peers = peers_;
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
