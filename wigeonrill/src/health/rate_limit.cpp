#include "wigeonrill/health.h"

#include <limits>

namespace wigeonrill::health {

bool supersedes(const rate_limit& one, const rate_limit& other) {
    constexpr double unlimited = std::numeric_limits<double>::infinity();
    return one.sequence != other.sequence
               ? one.sequence > other.sequence
               : one.per_second.value_or(unlimited) < other.per_second.value_or(unlimited);
}

} // namespace wigeonrill::health
