#ifndef WIGEONRILL_PLATFORM_CALL_BUDGET_H
#define WIGEONRILL_PLATFORM_CALL_BUDGET_H

#ifndef WIGEONRILL_PLATFORM_MODULE
#error "Include wigeonrill/platform.h instead of this file."
#endif

namespace wigeonrill::platform {

/// \brief Token bucket that limits the rate of calls from one node to the platform.
class call_budget {
public:
    /// \param rate sustained limit in calls per second
    /// \param burst number of calls that may be made back to back when the bucket is full
    call_budget(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}

    /// \returns the time at which the next call is allowed, or now if a token is available
    [[nodiscard]] instant available_at(instant now) const;
    /// \brief Takes one token.
    /// \pre available_at(now) has returned now
    void take(instant now);

private:
    [[nodiscard]] double tokens_at(instant now) const;

    double rate_;
    double burst_;
    double tokens_;                  ///< tokens in the bucket at updated_
    std::optional<instant> updated_; ///< time of the last call; empty before the first
};

} // namespace wigeonrill::platform

#endif
