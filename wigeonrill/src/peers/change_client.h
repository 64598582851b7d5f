#ifndef WIGEONRILL_PEERS_CHANGE_CLIENT_H
#define WIGEONRILL_PEERS_CHANGE_CLIENT_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Limits of a call to the TCP service.
struct change_client_limits {
    milliseconds connect_timeout{1'000};
    milliseconds total{10'000};           ///< of the whole call, however slowly bytes arrive
    std::size_t answer_bytes{64'000'000}; ///< largest answer
};

/// \brief Asks a peer for the changes since a version.
/// \param since version in force here
/// \returns the changes; or unavailable, timed_out, or invalid_input when the answer is not valid
[[nodiscard]] result<config::change_set> fetch_changes(const endpoint& peer, std::uint64_t since,
                                                       change_client_limits limits = {});

/// \brief Asks a peer for its status.
/// \returns JSON text, or an error as fetch_changes()
[[nodiscard]] result<std::string> fetch_status(const endpoint& peer,
                                               change_client_limits limits = {});

} // namespace wigeonrill::peers

#endif
