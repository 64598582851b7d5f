#ifndef WIGEONRILL_ONCE_CRASH_CONTAINMENT_H
#define WIGEONRILL_ONCE_CRASH_CONTAINMENT_H

#ifndef WIGEONRILL_ONCE_MODULE
#error "Include wigeonrill/once.h instead of this file."
#endif

namespace wigeonrill::once {

/// \brief Refuses requests that crash the targets that run them. Not thread-safe.
///
/// A request is refused when its fingerprint has marks from 2 targets within 10 minutes. Marks made
/// before a success of the same request on this node don't count: a frequent, harmless request is
/// in flight at every target that crashes for another reason, and must not be refused for that.
class crash_containment {
public:
    /// \brief Adds a mark made by this node or received from a peer. A mark from the future is
    /// dated to now.
    void add(const crash_mark& mark, wall_time now);
    /// \brief Records that a target answered the request completely.
    void on_success(std::uint64_t fingerprint, wall_time now);

    /// \returns whether a success after this time is known
    [[nodiscard]] bool has_succeeded_since(std::uint64_t fingerprint, wall_time when) const;
    /// \returns whether requests with this fingerprint must be refused now
    [[nodiscard]] bool is_blocked(std::uint64_t fingerprint, wall_time now) const;
    /// \returns number of fingerprints with marks
    [[nodiscard]] std::size_t size() const { return marks_.size(); }

private:
    struct success {
        std::uint64_t fingerprint{0};
        wall_time when{};
    };
    static constexpr std::size_t success_slots = 1024;
    /// \brief When the table is full, drops expired marks, or else the oldest fingerprint,
    ///        preferably one that isn't blocked.
    void make_room(wall_time now);

    std::unordered_map<std::uint64_t, std::vector<crash_mark>> marks_;
    wall_time last_purge_{wall_time::min()}; ///< last search for expired marks
    /// Latest successes, by the low bits of the fingerprint. If another fingerprint overwrites one,
    /// the only effect is that older marks which arrive later do count.
    std::vector<success> successes_ = std::vector<success>(success_slots);
};

} // namespace wigeonrill::once

#endif
