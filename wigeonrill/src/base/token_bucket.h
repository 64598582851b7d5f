#ifndef WIGEONRILL_BASE_TOKEN_BUCKET_H
#define WIGEONRILL_BASE_TOKEN_BUCKET_H

#ifndef WIGEONRILL_BASE_MODULE
#error "Include wigeonrill/base.h instead of this file."
#endif

namespace wigeonrill {

/// \brief Token bucket that limits the average rate of bytes, messages or requests.
///
/// A charge may make the level negative, so transfers larger than the level are accounted for too.
class token_bucket {
public:
    /// \param rate tokens per second; a token is a byte, a message or a request
    /// \param burst largest level: tokens that may be used at once after an idle time
    token_bucket(double rate, double burst, instant now) : token_bucket(rate, burst, now, burst) {}
    /// \param level tokens available now
    token_bucket(double rate, double burst, instant now, double level)
        : rate_(rate), burst_(burst), level_(level), updated_(now) {}

    /// \brief Adds the tokens that became available since the last call.
    void refill(instant now);
    /// \brief Subtracts tokens that are being or were used; the level is at least minus one burst.
    void charge(std::size_t tokens);
    /// \brief Returns tokens that were charged but not used.
    void refund(std::size_t tokens) {
        level_ = std::min(burst_, level_ + static_cast<double>(tokens));
    }
    /// \brief Changes the rate and the burst from now on.
    void set_rate(double rate, double burst, instant now);
    /// \returns the tokens available since the last refill; negative if more were charged
    [[nodiscard]] double level() const { return level_; }
    /// \returns the time at which the level reaches a value, if nothing is charged until then;
    ///          instant::max() if it never does
    [[nodiscard]] instant time_of_level(double wanted) const;

private:
    double rate_;
    double burst_;
    double level_;
    instant updated_;
};

} // namespace wigeonrill

#endif
