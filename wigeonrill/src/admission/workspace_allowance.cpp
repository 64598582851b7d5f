#include "wigeonrill/admission.h"

#include <algorithm>

namespace wigeonrill::admission {

namespace {

// The target size has 310,000 workspaces. A full table is emptied, which gives each workspace its
// allowance of one second again.
constexpr std::size_t most_buckets = 16'384;

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
    if (limited == nullptr || limited->requests_per_second == 0) {
        return true;
    }
    const auto rate = static_cast<double>(limited->requests_per_second);
    if (buckets_.size() >= most_buckets && !buckets_.contains(name)) {
        buckets_.clear();
    }
    auto& it = buckets_.try_emplace(name, bucket{rate, now}).first->second;
    if (now > it.refilled) {
        const auto elapsed = std::chrono::duration<double>(now - it.refilled).count();
        it.tokens = std::min(rate, it.tokens + elapsed * rate);
        it.refilled = now;
    }
    if (it.tokens < 1.0) {
        return false;
    }
    it.tokens -= 1.0;
    return true;
}

} // namespace wigeonrill::admission
