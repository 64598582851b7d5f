#include "wigeonrill/peers.h"

namespace wigeonrill::peers {

void token_bucket::refill(instant now) {
    if (now > updated_) {
        const std::chrono::duration<double> elapsed = now - updated_;
        level_ = std::min(burst_, level_ + elapsed.count() * rate_);
        updated_ = now;
    }
}

void token_bucket::charge(std::size_t bytes) {
    level_ = std::max(-burst_, level_ - static_cast<double>(bytes));
}

} // namespace wigeonrill::peers
