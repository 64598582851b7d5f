#ifndef WIGEONRILL_PEERS_TOKEN_BUCKET_H
#define WIGEONRILL_PEERS_TOKEN_BUCKET_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Token bucket that limits the average rate of sent bytes or messages.
///
/// A charge may make the level negative, so transfers larger than the level are accounted for too.
class token_bucket {
public:
    /// \param rate bytes (or messages) per second
    /// \param burst largest level: bytes that may be sent at once after an idle time
    token_bucket(double rate, double burst, instant now)
        : rate_(rate), burst_(burst), level_(burst), updated_(now) {}

    /// \brief Adds the bytes that became available since the last call.
    void refill(instant now);
    /// \brief Subtracts bytes that are being or were sent; the level is at least minus one burst.
    void charge(std::size_t bytes);
    /// \brief Returns bytes that were charged but not sent.
    void refund(std::size_t bytes) {
        level_ = std::min(burst_, level_ + static_cast<double>(bytes));
    }
    /// \returns the bytes available since the last refill; negative if more bytes were charged
    [[nodiscard]] double level() const { return level_; }

private:
    double rate_;
    double burst_;
    double level_;
    instant updated_;
};

} // namespace wigeonrill::peers

#endif
