#ifndef WIGEONRILL_PEERS_TOKEN_BUCKET_H
#define WIGEONRILL_PEERS_TOKEN_BUCKET_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Limits the mean rate of sent bytes. A charge may overdraw, so large transfers also count.
class token_bucket {
public:
    /// \param rate bytes per second
    /// \param burst bytes that may be sent at once after a silence
    token_bucket(double rate, double burst, instant now)
        : rate_(rate), burst_(burst), level_(burst), updated_(now) {}

    /// \brief Adds the bytes that became available since the last call.
    void refill(instant now);
    /// \brief Takes bytes that are or were sent; the debt is at most one burst.
    void charge(std::size_t bytes);
    /// \brief Gives back bytes that were charged and not sent.
    void refund(std::size_t bytes) {
        level_ = std::min(burst_, level_ + static_cast<double>(bytes));
    }
    /// \returns bytes available now; negative while in debt
    [[nodiscard]] double level() const { return level_; }

private:
    double rate_;
    double burst_;
    double level_;
    instant updated_;
};

} // namespace wigeonrill::peers

#endif
