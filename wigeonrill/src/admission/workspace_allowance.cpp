#include "wigeonrill/admission.h"

#include <algorithm>

namespace wigeonrill::admission {

namespace {

// Limits the memory, because the largest supported configuration has 310,000 workspaces. When the
// table is full, it is cleared, which refills the bucket of each workspace.
constexpr std::size_t max_buckets = 16'384;

} // namespace

bool workspace_allowance::take(const config::workspace& limited, instant now) {
    const double rate = limited.requests_per_second;
    if (rate <= 0.0) {
        return true;
    }
    const double depth = std::max(limited.burst > 0.0 ? limited.burst : rate, 1.0);
    const auto& name = limited.name.value;
    if (buckets_.size() >= max_buckets && !buckets_.contains(name)) {
        buckets_.clear();
    }
    auto& it = buckets_.try_emplace(name, bucket{depth, now}).first->second;
    if (now > it.last_refill) {
        const auto elapsed = std::chrono::duration<double>(now - it.last_refill).count();
        it.tokens = std::min(depth, it.tokens + elapsed * rate);
        it.last_refill = now;
    }
    if (it.tokens < 1.0) {
        return false;
    }
    it.tokens -= 1.0;
    return true;
}

} // namespace wigeonrill::admission
