#ifndef WIGEONRILL_ROUTING_PLACEMENT_POLICY_H
#define WIGEONRILL_ROUTING_PLACEMENT_POLICY_H

#ifndef WIGEONRILL_ROUTING_MODULE
#error "Include wigeonrill/routing.h instead of this file."
#endif

namespace wigeonrill::routing {

/// \brief Load, capacity and health of a target that is below its concurrency limit.
struct placement_candidate {
    double capacity{1.0};              ///< slots x weight x share by failure probability, above 0
    std::uint32_t outstanding{0};      ///< requests of this process in the target
    double reported_load{0.0};         ///< load that the target reported; 0: no recent report
    std::uint32_t slots{1};            ///< configured number of concurrent requests
    std::uint32_t peer_outstanding{0}; ///< requests of other nodes in the target
    double weight{1.0};                ///< 1: full share; see eligible_target::weight
    double failure_probability{0.0};   ///< probability that the target is failing now
    bool is_remote{false};             ///< the target is in another failure domain than this node
    /// The target is in the slice of another group, so most of its load isn't known to this node.
    bool is_foreign{false};
};

/// \returns (outstanding + reported load) / capacity, by which candidates are compared
[[nodiscard]] constexpr double relative_load(const placement_candidate& it) {
    return (static_cast<double>(it.outstanding) + it.reported_load) / it.capacity;
}

/// \brief Strategy that chooses one of the targets that can take a request now.
class placement_policy {
public:
    placement_policy() = default;
    placement_policy(const placement_policy&) = delete;
    placement_policy& operator=(const placement_policy&) = delete;
    virtual ~placement_policy() = default;

    /// \param candidates targets below their concurrency limits; not empty
    /// \param random random numbers for the choice
    /// \returns the index of the chosen candidate
    [[nodiscard]] virtual std::size_t choose(std::span<const placement_candidate> candidates,
                                             random_source& random) = 0;
    /// \returns true when a candidate that looks worse than another one gets nothing, instead of a
    ///          smaller share. Then targets that may have recovered must be presented as good ones.
    [[nodiscard]] virtual bool excludes_worse_candidates() const { return false; }
};

} // namespace wigeonrill::routing

#endif
