#ifndef WIGEONRILL_HEALTH_EJECTION_POLICY_H
#define WIGEONRILL_HEALTH_EJECTION_POLICY_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief What is known of one target when capacity is planned.
struct target_condition {
    std::uint32_t index{0}; ///< position in the service's target list
    std::uint32_t slots{1};
    target_state state{target_state::healthy};
    double severity{0.0}; ///< larger is worse
    double weight{1.0};   ///< share while warming
    bool reachable{true}; ///< false: its failure domain can't be reached

    friend bool operator==(const target_condition&, const target_condition&) = default;
};

/// \brief A target that may get work.
struct usable_target {
    std::uint32_t index{0};
    double weight{1.0};
    bool kept_for_floor{false}; ///< sick or returning, but the floor needs its slots

    friend bool operator==(const usable_target&, const usable_target&) = default;
};

/// \brief Targets of one service that may get work.
struct ejection_plan {
    std::vector<usable_target> usable; ///< sorted by index
    std::uint32_t slots_in_use{0};     ///< of usable targets that are neither warming nor lost
    std::uint32_t healthy_slots{0};    ///< of healthy, reachable targets
    std::uint32_t ejected{0};          ///< number of sick targets that get no work
    std::uint32_t kept{0};             ///< number of sick targets kept in use

    friend bool operator==(const ejection_plan&, const ejection_plan&) = default;
};

/// \brief Chooses the targets that may get work without breaking the service's floor.
///
/// The result depends only on its arguments, so nodes with the same verdicts agree.
class ejection_policy {
public:
    /// \brief Share of a sick target that stays in use for the floor.
    static constexpr double kept_weight = 0.2;

    /// \brief Ejects sick targets, worst first, while the slots left in use reach the floor.
    ///
    /// A sick target that doesn't fit is kept and the next one is tried. Warming targets are used
    /// but not counted; when the floor is not reached, those with a reduced share get a full one.
    /// Leaving targets get no work even below the floor. Unreachable targets are
    /// used only when nothing else is left.
    /// \param targets conditions in any order
    /// \param floor_slots capacity that ejection must leave, in slots
    [[nodiscard]] ejection_plan plan(const std::vector<target_condition>& targets,
                                     std::uint32_t floor_slots) const;
};

} // namespace wigeonrill::health

#endif
