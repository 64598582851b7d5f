#ifndef WIGEONRILL_ADMISSION_SERVED_SHARES_H
#define WIGEONRILL_ADMISSION_SERVED_SHARES_H

#ifndef WIGEONRILL_ADMISSION_MODULE
#error "Include wigeonrill/admission.h instead of this file."
#endif

namespace wigeonrill::admission {

/// \brief Counts, by priority, how many of the recent requests of one service were served. Not
///        thread-safe.
///
/// Load pattern: room is short for so long that requests of a less urgent priority would never be
/// served, or would be served more often than more urgent ones because there are few of them.
class served_shares {
public:
    /// Time after which a request counts half.
    static constexpr seconds half_life{5};
    /// A priority yields to more urgent ones while its share of served requests is at least this
    /// part of the share of all requests of the service.
    static constexpr double least_relative_share = 0.4;

    void on_served(std::uint32_t priority, instant now) { add(priority, 1.0, now); }
    void on_refused(std::uint32_t priority, instant now) { add(priority, 0.0, now); }

    /// \returns true when requests of a priority may be refused to leave room to more urgent ones
    [[nodiscard]] bool may_yield(std::uint32_t priority, instant now) const;
    /// \returns true when a priority is served at most as often as a more urgent one
    [[nodiscard]] bool may_pass(std::uint32_t less_urgent, std::uint32_t more_urgent,
                                instant now) const;

private:
    struct tally {
        double served{0.0};
        double ended{0.0}; ///< served or refused
        instant updated{};
    };
    void add(std::uint32_t priority, double served, instant now);
    /// \returns the tally with its numbers as they count at a time
    [[nodiscard]] static tally at(const tally& it, instant now);
    /// \returns the share that was served; near 1 after few requests
    [[nodiscard]] static double share(const tally& it);
    [[nodiscard]] tally tally_of(std::uint32_t priority, instant now) const;

    std::map<std::uint32_t, tally> tallies_; ///< by priority; only of recent requests
};

} // namespace wigeonrill::admission

#endif
