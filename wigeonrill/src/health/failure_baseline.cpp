#include "wigeonrill/health.h"

#include <algorithm>

namespace wigeonrill::health {

namespace {

constexpr std::size_t capacity = 256;
// One failure among few attempts is no estimate of the rate. With fewer attempts than this, the
// rate is computed as if there were this many.
constexpr double min_answers = 50.0;

} // namespace

void failure_baseline::add(std::uint32_t target, bool failed) {
    if (latest_.size() < capacity) {
        latest_.push_back({target, failed});
        return;
    }
    latest_[next_] = {target, failed};
    next_ = (next_ + 1) % capacity;
}

double failure_baseline::usual_rate(std::uint32_t except) const {
    double answers = 0.0;
    double failures = 0.0;
    for (const auto& it : latest_) {
        if (it.target != except) {
            answers += 1.0;
            failures += it.failed ? 1.0 : 0.0;
        }
    }
    return failures / std::max(answers, min_answers);
}

} // namespace wigeonrill::health
