#ifndef WIGEONRILL_HEALTH_LEAVING_TARGETS_H
#define WIGEONRILL_HEALTH_LEAVING_TARGETS_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief What a node hears of the leaving of a target.
struct leaving_notice {
    config::registration about;      ///< the last registration that it leaves with
    std::uint64_t order{last_order}; ///< see verdict::order
    bool leaves{true};               ///< false: it doesn't leave any more
};

/// \brief Targets that leave or are gone, as far as this node has heard.
///
/// What is heard of a target holds for a registration and all earlier ones, also while the target
/// is not configured or is configured again with one of these. It doesn't hold for a process that
/// starts later under the same id.
class leaving_targets {
public:
    /// Longer than any drain, so that a target that stopped without a further sign is not used;
    /// shorter than a day, so that a replacement at the same address is used again.
    static constexpr seconds lifetime{600};

    /// \brief Records what was heard of a target. Of one process the notice of the highest order
    ///        counts.
    /// \returns whether it was news
    bool add(const target_id& target, const leaving_notice& notice, instant now);
    /// \returns whether the target leaves if this is its registration
    [[nodiscard]] bool contains(const target_id& target, const config::registration& registered,
                                instant now) const;
    /// \brief Forgets a target, because the process that left is known to have been replaced.
    void forget(const target_id& target) { targets_.erase(target); }
    /// \brief Forgets the targets of which only a registration is gone.
    void forget_removed_registrations();

private:
    struct entry {
        leaving_notice notice;
        instant until{};
    };
    /// \brief Removes the entries that have ended, and the oldest one if there is no space.
    void make_room(instant now);

    std::unordered_map<target_id, entry> targets_;
};

} // namespace wigeonrill::health

#endif
