#ifndef WIGEONRILL_DAEMON_NODE_STATE_H
#define WIGEONRILL_DAEMON_NODE_STATE_H

#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead of this file."
#endif

namespace wigeonrill::daemon {

/// \brief What the administration port shows of one target.
struct target_row {
    config::target target;
    service_name service;
    health::target_status status;
    bool eligible{false};
    bool kept_for_floor{false};
    double weight{0.0}; ///< share of new work, 0: none
};

/// \brief State of the node at one tick of the control thread. Immutable; shared between threads.
struct node_state {
    config::snapshot_ptr configuration; ///< null before the first configuration
    std::shared_ptr<const routing::route_table> routes;
    wall_time confirmed{};          ///< when the version in force was last confirmed
    std::optional<error> rejection; ///< why the last rejected configuration was rejected
    std::map<std::string, std::size_t> peers_by_state;
    std::shared_ptr<const std::set<std::string>> peer_ips; ///< numeric addresses of all peers
    bool superseded{false}; ///< a newer process runs at this node's peer address
    std::uint64_t control_bytes_sent{0};
    std::uint64_t control_bytes_received{0};
};

/// \brief Shared ownership of an immutable state.
using node_state_ptr = std::shared_ptr<const node_state>;

} // namespace wigeonrill::daemon

#endif
