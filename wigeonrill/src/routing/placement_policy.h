#ifndef WIGEONRILL_ROUTING_PLACEMENT_POLICY_H
#define WIGEONRILL_ROUTING_PLACEMENT_POLICY_H

#ifndef WIGEONRILL_ROUTING_MODULE
#error "Include wigeonrill/routing.h instead of this file."
#endif

namespace wigeonrill::routing {

/// \brief Load and share of a target that has a free place under its limit.
struct placement_candidate {
    double capacity{1.0};         ///< slots x weight, above 0
    std::uint32_t outstanding{0}; ///< requests of this process in the target
    double reported{0.0};         ///< load hint of the target, 0 when there is none
    std::uint32_t slots{1};
    std::uint32_t elsewhere{0};      ///< requests of other nodes in the target, as they told
    double weight{1.0};              ///< below 1: it is cold or kept for the floor only
    double failure_probability{0.0}; ///< that it is in a spell of failures
    bool is_remote{false};           ///< it is in another failure domain
};

/// \returns (outstanding + reported load) / capacity, the order of candidates
[[nodiscard]] constexpr double relative_load(const placement_candidate& it) {
    return (static_cast<double>(it.outstanding) + it.reported) / it.capacity;
}

/// \brief Chooses one of the targets that may take a request now.
class placement_policy {
public:
    placement_policy() = default;
    placement_policy(const placement_policy&) = delete;
    placement_policy& operator=(const placement_policy&) = delete;
    virtual ~placement_policy() = default;

    /// \param candidates targets with a free place, not empty
    /// \param random source of the draws
    /// \returns the position of the chosen candidate
    [[nodiscard]] virtual std::size_t choose(std::span<const placement_candidate> candidates,
                                             random_source& random) = 0;
};

} // namespace wigeonrill::routing

#endif
