#ifndef WIGEONRILL_PEERS_TRAFFIC_COUNTERS_H
#define WIGEONRILL_PEERS_TRAFFIC_COUNTERS_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Control traffic of this node since its start, for metrics.
struct traffic_counters {
    std::uint64_t datagrams_sent{0};
    std::uint64_t datagrams_received{0};
    std::uint64_t bytes_sent{0};              ///< datagrams with their UDP and IP headers
    std::uint64_t bytes_received{0};          ///< datagrams with their UDP and IP headers
    std::uint64_t transfer_bytes_sent{0};     ///< content of change sets sent over TCP
    std::uint64_t transfer_bytes_received{0}; ///< content of change sets received over TCP
    std::uint64_t send_failures{0};           ///< messages that could not be encoded or sent
    std::uint64_t evidence_discarded{0};      ///< evidence reports lost because the queue was full
    std::array<std::uint64_t, drop_reason_names.size()> dropped{}; ///< indexed by drop_reason

    /// \brief Counts a dropped datagram or item.
    void drop(drop_reason reason) { ++dropped.at(static_cast<std::size_t>(reason)); }
    /// \returns the number of datagrams or items dropped for a reason
    [[nodiscard]] std::uint64_t dropped_for(drop_reason reason) const {
        return dropped.at(static_cast<std::size_t>(reason));
    }
};

} // namespace wigeonrill::peers

#endif
