#include "wigeonrill/quota.h"

#include <algorithm>
#include <cmath>

namespace wigeonrill::quota {

part_allowance::part_allowance(double level, double phase, instant now)
    : filled_(level + phase), used_(phase), filled_until_(now) {}

void part_allowance::restart(instant when) {
    used_ = filled_;
    filled_until_ = when;
}

bool part_allowance::take(double per_second, double depth, instant now) {
    const std::chrono::duration<double> elapsed = now - filled_until_;
    filled_ += std::max(elapsed.count(), 0.0) * per_second;
    filled_until_ = std::max(filled_until_, now);
    used_ = std::max(used_, filled_ - depth);
    const double next = std::floor(used_) + 1.0;
    if (next > filled_) {
        return false;
    }
    used_ = next;
    return true;
}

} // namespace wigeonrill::quota
