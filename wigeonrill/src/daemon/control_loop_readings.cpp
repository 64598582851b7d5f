#include "wigeonrill/daemon.h"

// Members of control_loop that handle readings of the platform's store, by this node and by peers.

namespace wigeonrill::daemon {

using observe::log_level;
using observe::log_line;
using observe::log_subsystem;

void control_loop::handle_store_reading(const platform::store_reading& latest) {
    for (const auto& it : latest.withdrawn) {
        const bool is_gone = it.change == platform::target_change::gone;
        const auto created = is_gone ? it.registered.created : health::any_registration;
        announce_leaving_target(it.service, it.target,
                                {{it.registered.started_ms, created},
                                 it.order,
                                 it.change != platform::target_change::ready_again},
                                "store");
    }
    if (!latest.configuration) {
        return;
    }
    if (!apply_store_content(latest)) {
        return;
    }
    confirm(store_.version());
    if (dependencies_.gossip != nullptr) {
        dependencies_.gossip->announce_store_reading(readers_.others, latest.when);
    }
}

// Creates a new version only when the content or the store's era has changed, so that reports of
// targets without news cause no transfers to other nodes.
bool control_loop::apply_store_content(const platform::store_reading& latest) {
    const auto current = store_.current();
    auto next = *latest.configuration;
    next.version = latest.version;
    if (current) {
        next.published = current->published;
        const auto version = std::exchange(next.version, current->version);
        if (next == *current && platform::era_of(version) == platform::era_of(current->version)) {
            return true;
        }
        next.version = version;
    }
    if (next.version <= store_.version()) {
        // The version in force is from a later reading, made by a peer, or from one of the same
        // revision by a node that knows other targets of it.
        write_log(log_level::info, log_subsystem::config,
                  log_line("What was read from the store is not newer than the version in force.")
                      .with("version", static_cast<std::int64_t>(next.version))
                      .with("in_force", static_cast<std::int64_t>(store_.version())));
        return false;
    }
    next.published = std::chrono::floor<milliseconds>(dependencies_.clock.wall_now());
    const auto previous = store_.changes_since(0);
    const auto changes = config::split_snapshot(next, "store", current ? &previous : nullptr);
    if (!changes) {
        write_log(log_level::error, log_subsystem::config,
                  log_line("The content of the store is not a valid configuration.")
                      .with("reason", to_string(changes.error())));
        return false;
    }
    return apply_changes(*changes, "store") == config::apply_outcome::accepted;
}

void control_loop::handle_peer_reading(const peers::peer_store_reading& received) {
    if (!latest_peer_reading_ || latest_peer_reading_->when < received.when) {
        latest_peer_reading_ = received;
    }
    notify_peer_reading_listener();
}

void control_loop::notify_peer_reading_listener() {
    if (latest_peer_reading_ && peer_reading_listener_ &&
        store_.version() >= latest_peer_reading_->version) {
        peer_reading_listener_(latest_peer_reading_->when);
    }
}

void control_loop::set_read_sharing_group(platform::read_sharing_group next) {
    if (next.others.size() != readers_.others.size() || next.rank != readers_.rank) {
        write_log(log_level::info, log_subsystem::peers,
                  log_line("The group that shares readings changed.")
                      .with("others", static_cast<std::int64_t>(next.others.size()))
                      .with("rank", static_cast<std::int64_t>(next.rank)));
    }
    readers_ = std::move(next);
    if (group_rank_listener_) {
        group_rank_listener_(readers_.rank);
    }
}

} // namespace wigeonrill::daemon
