#ifndef WIGEONRILL_PEERS_CHANGE_CLIENT_H
#define WIGEONRILL_PEERS_CHANGE_CLIENT_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Limits of one call to the TCP service of a peer.
struct change_client_limits {
    milliseconds connect_timeout{1'000};  ///< longest time to establish the connection
    milliseconds total{10'000};           ///< longest time of the whole call
    std::size_t answer_bytes{64'000'000}; ///< largest accepted size of the answer
    milliseconds silence{10'000};         ///< longest time until the first and between two bytes
    bool may_refuse{false}; ///< the peer may refuse if it is busy; otherwise the call waits
};

/// \brief Requests the configuration changes since the version in force from a peer.
/// \param base what this node has; its shards are left out where they don't fit the requests that
///        older builds accept
/// \param progress records the bytes of the answer and can cancel the call; may be null
/// \returns the changes, or an error: unavailable, timed_out, overloaded if the peer is busy, or
///          invalid_input if the answer is not valid
[[nodiscard]] result<config::change_set> fetch_changes(const endpoint& peer,
                                                       const config::change_base& base,
                                                       change_client_limits limits = {},
                                                       transfer_progress* progress = nullptr);

/// \brief Requests the status of a peer.
/// \returns the status as JSON text, or one of the errors of fetch_changes()
[[nodiscard]] result<std::string> fetch_status(const endpoint& peer,
                                               change_client_limits limits = {});

} // namespace wigeonrill::peers

#endif
