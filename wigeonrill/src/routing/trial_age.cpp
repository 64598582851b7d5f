#include "wigeonrill/routing.h"

#include <algorithm>
#include <cmath>

namespace wigeonrill::routing {

namespace {

// Share of the sound targets that may rest. It is well below the 0.3 that a floor of 0.7 of the
// sound capacity leaves, since targets that fail together recover together.
constexpr double max_resting_share = 0.08;
// Mean time from a bad answer to the recovery of a target that fails in bursts.
constexpr std::chrono::duration<double> mean_recovery_time{4.0};
// A target counts as sound this long after its last failure.
constexpr std::chrono::duration<double> settling_time{2.0};

// Returns the probability that a target is sound again.
double recovery_probability(nanoseconds rest) {
    const auto settled = std::chrono::duration<double>(rest) - settling_time;
    return 1.0 - std::exp(-std::max(settled.count(), 0.0) / mean_recovery_time.count());
}

} // namespace

nanoseconds choose_trial_age(std::vector<nanoseconds> rests, std::size_t in_use) {
    double sound = static_cast<double>(in_use);
    for (const auto it : rests) {
        sound += recovery_probability(it);
    }
    std::ranges::sort(rests);
    double resting = 0.0;
    for (const auto it : rests) {
        resting += recovery_probability(it);
        if (resting > max_resting_share * sound) {
            return std::min<nanoseconds>(it, max_rest);
        }
    }
    return max_rest;
}

} // namespace wigeonrill::routing
