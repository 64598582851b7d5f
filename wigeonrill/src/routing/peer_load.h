#ifndef WIGEONRILL_ROUTING_PEER_LOAD_H
#define WIGEONRILL_ROUTING_PEER_LOAD_H

#ifndef WIGEONRILL_ROUTING_MODULE
#error "Include wigeonrill/routing.h instead of this file."
#endif

namespace wigeonrill::routing {

/// \brief Requests that other nodes have in one target, as they told. Not thread-safe.
///
/// It answers the load pattern of many nodes that each send a target a request now and then: what
/// a node counts itself says nothing about which targets are full. A count that its node doesn't
/// repeat is dropped after `lifetime`, since the message that ended it may be lost.
class peer_load {
public:
    /// Nodes repeat their counts within this time.
    static constexpr milliseconds repeat_interval{1'000};
    /// Two repetitions may be lost.
    static constexpr milliseconds lifetime{2'500};

    /// \param count requests of the peer in the target
    void report(const node_id& peer, std::uint32_t count, instant now);
    /// \returns the sum of the counts that are still valid
    [[nodiscard]] std::uint32_t at(instant now) const;

private:
    struct entry {
        std::uint32_t count{0};
        instant told{};
    };
    std::map<node_id, entry> counts_; ///< above 0 only
};

} // namespace wigeonrill::routing

#endif
