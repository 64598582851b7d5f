#include "wigeonrill/admission.h"

#include <algorithm>

namespace wigeonrill::admission {

namespace {

// Limits the memory, because the largest supported configuration has 310,000 workspaces. When the
// table is full, it is cleared, which refills the bucket of each workspace.
constexpr std::size_t max_buckets = 16'384;

const config::workspace* find(const config::snapshot& configuration, const std::string& name) {
    const auto& all = configuration.workspaces;
    const auto it = std::ranges::lower_bound(
        all, name, {},
        [](const config::workspace& one) -> const std::string& { return one.name.value; });
    return it != all.end() && it->name.value == name ? &*it : nullptr;
}

} // namespace

bool workspace_allowance::take(const config::snapshot& configuration, const std::string& name,
                               instant now) {
    const auto* limited = name.empty() ? nullptr : find(configuration, name);
    if (limited == nullptr || limited->requests_per_second <= 0.0) {
        return true;
    }
    const auto rate = limited->requests_per_second;
    if (buckets_.size() >= max_buckets && !buckets_.contains(name)) {
        buckets_.clear();
    }
    auto& it = buckets_.try_emplace(name, bucket{rate, now}).first->second;
    if (now > it.last_refill) {
        const auto elapsed = std::chrono::duration<double>(now - it.last_refill).count();
        it.tokens = std::min(rate, it.tokens + elapsed * rate);
        it.last_refill = now;
    }
    if (it.tokens < 1.0) {
        return false;
    }
    it.tokens -= 1.0;
    return true;
}

} // namespace wigeonrill::admission
