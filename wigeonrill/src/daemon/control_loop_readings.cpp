#include "wigeonrill/daemon.h"

// What the control thread does with readings of the platform's store, own and of peers.

namespace wigeonrill::daemon {

using observe::log_level;
using observe::log_line;
using observe::log_part;

void control_loop::take_reading(const platform::reading& made) {
    if (!made.configuration) {
        return;
    }
    if (!publish_reading(made)) {
        return;
    }
    confirm(store_.version());
    if (parts_.gossip != nullptr) {
        parts_.gossip->announce_reading(group_.others, made.when);
    }
}

// Only a changed content makes a new version, so that reports of targets that say nothing new cost
// the other nodes nothing.
bool control_loop::publish_reading(const platform::reading& made) {
    const auto current = store_.current();
    auto next = *made.configuration;
    next.version = made.as_of;
    if (current) {
        next.published = current->published;
        const auto version = std::exchange(next.version, current->version);
        if (next == *current) {
            return true;
        }
        next.version = version;
    }
    if (next.version <= store_.version()) {
        return false; // A peer has read the store later.
    }
    next.published = std::chrono::floor<milliseconds>(parts_.clock.wall_now());
    const auto previous = store_.changes_since(0);
    const auto changes = config::split_document(config::write_document(next), "store",
                                                current ? &previous : nullptr);
    if (!changes) {
        write(log_level::error, log_part::config,
              log_line("The store's content can't be put in force.")
                  .with("reason", to_string(changes.error())));
        return false;
    }
    return offer(*changes, "store") == config::apply_outcome::accepted;
}

void control_loop::take_peer_reading(const peers::peer_reading& heard) {
    if (!heard_ || heard_->when < heard.when) {
        heard_ = heard;
    }
    use_peer_reading();
}

void control_loop::use_peer_reading() {
    if (heard_ && known_ && store_.version() >= heard_->version) {
        known_(heard_->when);
    }
}

void control_loop::tell_observed() {
    if (parts_.gossip != nullptr) {
        parts_.gossip->announce(observed_, group_.others);
    }
    observed_.clear();
}

void control_loop::set_group(platform::reading_group next) {
    if (next.others.size() != group_.others.size() || next.rank != group_.rank) {
        write(log_level::info, log_part::peers,
              log_line("The group that shares readings changed.")
                  .with("others", static_cast<std::int64_t>(next.others.size()))
                  .with("rank", static_cast<std::int64_t>(next.rank)));
    }
    group_ = std::move(next);
    if (ranked_) {
        ranked_(group_.rank);
    }
}

} // namespace wigeonrill::daemon
