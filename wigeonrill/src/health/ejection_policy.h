#ifndef WIGEONRILL_HEALTH_EJECTION_POLICY_H
#define WIGEONRILL_HEALTH_EJECTION_POLICY_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief Inputs of the ejection policy for one target.
struct target_condition {
    std::uint32_t index{0}; ///< position in the service's target list
    std::uint32_t slots{1}; ///< requests that the target can run at a time
    target_state state{target_state::healthy};
    double severity{0.0}; ///< evidence against the target in nats; the largest is ejected first
    double weight{1.0};   ///< share of the normal load in (0, 1], below 1 while warming
    bool reachable{true}; ///< whether this node can reach the target's failure domain

    friend bool operator==(const target_condition&, const target_condition&) = default;
};

/// \brief A target that may receive requests.
struct usable_target {
    std::uint32_t index{0};     ///< position in the service's target list
    double weight{1.0};         ///< share of the normal load in (0, 1]
    bool kept_for_floor{false}; ///< sick or warming, but used because the floor needs its slots

    friend bool operator==(const usable_target&, const usable_target&) = default;
};

/// \brief Targets of one service that may receive requests, with the resulting capacity.
struct ejection_plan {
    std::vector<usable_target> usable; ///< sorted by index
    std::uint32_t slots_in_use{0};     ///< slots of the usable, reachable targets that count toward
                                       ///< the floor; warming ones only if raised to full weight
    std::uint32_t healthy_slots{0};    ///< slots of the healthy, reachable targets
    std::uint32_t ejected{0};          ///< number of sick targets that receive no requests
    std::uint32_t kept{0};             ///< number of sick targets kept in use for the floor

    friend bool operator==(const ejection_plan&, const ejection_plan&) = default;
};

/// \brief Decides which sick targets are ejected, within the service's capacity floor.
///
/// The result depends on the arguments only, so nodes that hold the same verdicts make the same
/// plan.
class ejection_policy {
public:
    /// \brief Weight of a sick target that stays in use for the floor.
    static constexpr double kept_weight = 0.2;

    /// \brief Ejects sick targets, most severe first, as long as the remaining slots reach the
    /// floor.
    ///
    /// A sick target whose ejection would break the floor is kept at a low weight, and the next one
    /// is considered. Warming targets are used but don't count toward the floor; while the floor is
    /// not reached, those with a reduced weight are raised to full weight and count. Leaving
    /// targets receive no requests, even below the floor. Unreachable targets are used only when no
    /// other target is usable.
    /// \param targets the service's targets, in any order
    /// \param floor_slots slots that must stay in use
    /// \returns the plan, with the usable targets sorted by index
    [[nodiscard]] ejection_plan plan(const std::vector<target_condition>& targets,
                                     std::uint32_t floor_slots) const;
};

} // namespace wigeonrill::health

#endif
