#ifndef WIGEONRILL_ROUTING_PEER_LOAD_H
#define WIGEONRILL_ROUTING_PEER_LOAD_H

#ifndef WIGEONRILL_ROUTING_MODULE
#error "Include wigeonrill/routing.h instead of this file."
#endif

namespace wigeonrill::routing {

/// \brief Number of requests that other nodes have in one target. Not thread-safe.
///
/// Each node publishes its counts. They are needed when many nodes each send few requests to a
/// target, because then a node's own count does not show whether the target is full. A count that
/// is not repeated is dropped after `lifetime`, because the message that set it to 0 may be lost.
class peer_load {
public:
    /// Interval in which nodes repeat their counts.
    static constexpr milliseconds repeat_interval{1'000};
    /// Validity of a count; two repetitions may be lost.
    static constexpr milliseconds lifetime{2'500};

    /// \brief Records the count that a peer published.
    /// \param count number of requests of the peer in the target
    void report(const node_id& peer, std::uint32_t count, instant now);
    /// \returns the sum of the counts that are valid at a time
    [[nodiscard]] std::uint32_t at(instant now) const;

private:
    struct entry {
        std::uint32_t count{0};
        instant received{}; ///< when the count was recorded
    };
    std::map<node_id, entry> counts_; ///< only counts above 0
};

} // namespace wigeonrill::routing

#endif
