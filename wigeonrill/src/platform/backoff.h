#ifndef WIGEONRILL_PLATFORM_BACKOFF_H
#define WIGEONRILL_PLATFORM_BACKOFF_H

#ifndef WIGEONRILL_PLATFORM_MODULE
#error "Include wigeonrill/platform.h instead of this file."
#endif

namespace wigeonrill::platform {

/// \brief Exponential backoff with jitter, so that nodes don't return together after an outage.
class backoff {
public:
    /// \param first largest delay after the first failure
    /// \param most largest delay at all
    backoff(milliseconds first, milliseconds most) : first_(first), most_(most) {}

    /// \brief Counts a failure.
    /// \returns a delay between half of the current limit and the limit
    [[nodiscard]] milliseconds failed(random_source& random);
    /// \brief Starts over after a success.
    void reset() { failures_ = 0; }

private:
    milliseconds first_;
    milliseconds most_;
    unsigned failures_{0};
};

} // namespace wigeonrill::platform

#endif
