#include "wigeonrill/base.h"

namespace wigeonrill {

std::uint64_t random_source::next_below(std::uint64_t bound) {
    WIGEONRILL_ASSERT(bound > 0, "bound must be at least 1");
    // The modulus makes the distribution uneven by less than bound / 2^64, which is negligible.
    return next() % bound;
}

double random_source::uniform() {
    constexpr int mantissa_bits = 53;
    constexpr double scale = 1.0 / static_cast<double>(std::uint64_t{1} << mantissa_bits);
    return static_cast<double>(next() >> (64 - mantissa_bits)) * scale;
}

std::uint64_t seeded_random_source::next() {
    state_ += 0x9e3779b97f4a7c15U;
    return mix_bits(state_);
}

} // namespace wigeonrill
