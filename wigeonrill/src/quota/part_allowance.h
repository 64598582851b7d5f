#ifndef WIGEONRILL_QUOTA_PART_ALLOWANCE_H
#define WIGEONRILL_QUOTA_PART_ALLOWANCE_H

#ifndef WIGEONRILL_QUOTA_MODULE
#error "Include wigeonrill/quota.h instead of this file."
#endif

namespace wigeonrill::quota {

/// \brief Part of a rate limit that a node uses by itself. Not thread-safe.
///
/// A token bucket whose depth may be below one request. The node may then admit a request at some
/// times and not at others; they begin at a random point, so that the nodes which each have a part
/// admit together what the parts are in sum.
class part_allowance {
public:
    part_allowance() = default;
    /// \param level requests that may be admitted at once; may have a fraction
    /// \param phase random number in [0, 1)
    part_allowance(double level, double phase, instant now);

    /// \brief Takes a request, if there is one.
    /// \param per_second rate since the last call
    /// \param depth requests that may be saved up
    [[nodiscard]] bool take(double per_second, double depth, instant now);
    /// \brief Drops what was saved up before a time, when someone else may have used it.
    void restart(instant when);
    /// \returns the time up to which it has been filled
    [[nodiscard]] instant filled_until() const { return filled_until_; }

private:
    // Each whole number that filled_ has passed is a request. Those up to used_ were admitted, or
    // are older than the depth.
    double filled_{0.0};
    double used_{0.0};
    instant filled_until_{};
};

} // namespace wigeonrill::quota

#endif
