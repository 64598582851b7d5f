#ifndef WIGEONRILL_PLATFORM_CALL_BUDGET_H
#define WIGEONRILL_PLATFORM_CALL_BUDGET_H

#ifndef WIGEONRILL_PLATFORM_MODULE
#error "Include wigeonrill/platform.h instead of this file."
#endif

namespace wigeonrill::platform {

/// \brief Token bucket that limits the calls of one node to the platform.
class call_budget {
public:
    /// \param rate calls per second in the long run
    /// \param burst calls that may follow each other directly
    call_budget(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}

    /// \returns when the next call is allowed; now when it is allowed already
    [[nodiscard]] instant available_at(instant now) const;
    /// \brief Takes a token; the caller has asked available_at() before.
    void take(instant now);

private:
    [[nodiscard]] double tokens_at(instant now) const;

    double rate_;
    double burst_;
    double tokens_;
    std::optional<instant> updated_;
};

} // namespace wigeonrill::platform

#endif
