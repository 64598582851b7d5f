#ifndef WIGEONRILL_PLATFORM_BACKOFF_H
#define WIGEONRILL_PLATFORM_BACKOFF_H

#ifndef WIGEONRILL_PLATFORM_MODULE
#error "Include wigeonrill/platform.h instead of this file."
#endif

namespace wigeonrill::platform {

/// \brief Exponential backoff with jitter.
///
/// The jitter keeps the nodes of a fleet from retrying at the same time after an outage.
class backoff {
public:
    /// \param first upper limit of the delay after the first failure; doubles with each failure
    /// \param max largest value of the upper limit
    backoff(milliseconds first, milliseconds max) : first_(first), max_(max) {}

    /// \brief Counts a failure and chooses the delay before the next attempt.
    /// \returns a random delay between half of the current upper limit and the limit itself
    [[nodiscard]] milliseconds next_delay(random_source& random);
    /// \brief Resets the failure count after a success.
    void reset() { failures_ = 0; }

private:
    milliseconds first_;
    milliseconds max_;
    unsigned failures_{0}; ///< failures in a row
};

} // namespace wigeonrill::platform

#endif
