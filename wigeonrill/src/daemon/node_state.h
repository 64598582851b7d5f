#ifndef WIGEONRILL_DAEMON_NODE_STATE_H
#define WIGEONRILL_DAEMON_NODE_STATE_H

#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead of this file."
#endif

namespace wigeonrill::daemon {

/// \brief One target as the administration port shows it.
struct target_row {
    config::target target;
    service_name service;
    health::target_status status;
    bool eligible{false};       ///< new requests may be sent to it
    bool kept_for_floor{false}; ///< sick or returning, but the floor of its service needs its slots
    double weight{0.0};         ///< weight in the choice of a target for new requests, 0: none
};

/// \brief Numeric IP addresses of the other nodes.
struct peer_addresses {
    std::set<std::string> all;
    /// Of nodes that were heard and don't announce that they check API keys: their builds check
    /// those of their own callers only, and don't pass them on.
    std::set<std::string> vouching;
};

/// \brief State of the node as of one tick of the control thread. Immutable, so that threads can
///        share it.
struct node_state {
    config::snapshot_ptr configuration; ///< null before the first configuration
    wall_time confirmed{};              ///< when the version in force was last confirmed
    std::optional<error> rejection;     ///< reason of the last rejected configuration
    std::map<std::string, std::size_t> peers_by_state; ///< number of peers in each member state
    std::shared_ptr<const peer_addresses> peers;       ///< null before the first look at them
    bool superseded{false};                  ///< a newer process runs at this node's peer address
    std::uint64_t control_bytes_sent{0};     ///< to peers, since the start
    std::uint64_t control_bytes_received{0}; ///< from peers, since the start
};

/// \brief Shared ownership of an immutable node state.
using node_state_ptr = std::shared_ptr<const node_state>;

} // namespace wigeonrill::daemon

#endif
