#ifndef WIGEONRILL_ONCE_CRASH_CONTAINMENT_H
#define WIGEONRILL_ONCE_CRASH_CONTAINMENT_H

#ifndef WIGEONRILL_ONCE_MODULE
#error "Include wigeonrill/once.h instead of this file."
#endif

namespace wigeonrill::once {

/// \brief Refuses requests that crash the targets that run them. Not thread-safe.
///
/// A fingerprint with marks on 2 targets within 10 minutes is refused. Marks before a success of
/// the same request on this node don't count: a popular harmless request is in flight on every
/// target that dies for another reason, and must not be refused for that.
class crash_containment {
public:
    /// \brief Adds a mark, own or from a peer. Marks from the future count from now on.
    void add(const crash_mark& mark, wall_time now);
    /// \brief Records a whole answer of a target to a request.
    void on_success(std::uint64_t fingerprint, wall_time now);

    /// \returns true when the request must be refused now
    [[nodiscard]] bool refused(std::uint64_t fingerprint, wall_time now) const;
    /// \returns fingerprints with marks
    [[nodiscard]] std::size_t size() const { return marks_.size(); }

private:
    struct success {
        std::uint64_t fingerprint{0};
        wall_time when{};
    };
    static constexpr std::size_t success_slots = 1024;
    void make_room(wall_time now);

    std::unordered_map<std::uint64_t, std::vector<crash_mark>> marks_;
    wall_time purged_{wall_time::min()}; ///< when expired marks were last searched for
    /// Latest successes by the low bits of the fingerprint. A lost one only leaves marks counting.
    std::vector<success> successes_ = std::vector<success>(success_slots);
};

} // namespace wigeonrill::once

#endif
