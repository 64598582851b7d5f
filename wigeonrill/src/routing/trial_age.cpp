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
// Share of the targets without a recent bad answer that may rest, whether or not they have
// recovered. The mean recovery time says little about targets whose bursts began together.
constexpr double max_untried_share = 0.2;
// Trials of a cohort begin this long before its targets have settled, because they take some
// requests.
constexpr milliseconds trial_lead{400};

// Returns the probability that a target is sound again.
double recovery_probability(nanoseconds rest) {
    const auto settled = std::chrono::duration<double>(rest - settling_time);
    return 1.0 - std::exp(-std::max(settled.count(), 0.0) / mean_recovery_time.count());
}

// Returns true when a target would, without a trial, soon count as one that has settled.
bool is_nearly_settled(nanoseconds rest) {
    return rest >= settling_time - trial_lead;
}

} // namespace

nanoseconds choose_trial_age(std::vector<nanoseconds> rests, std::size_t in_use) {
    auto recovered = static_cast<double>(in_use);
    auto settled = static_cast<double>(in_use);
    for (const auto it : rests) {
        recovered += recovery_probability(it);
        settled += is_nearly_settled(it) ? 1.0 : 0.0;
    }
    std::ranges::sort(rests);
    double resting = 0.0;
    double untried = 0.0;
    for (const auto it : rests) {
        resting += recovery_probability(it);
        untried += is_nearly_settled(it) ? 1.0 : 0.0;
        if (resting > max_resting_share * recovered || untried > max_untried_share * settled) {
            return std::min<nanoseconds>(it, max_rest);
        }
    }
    return max_rest;
}

} // namespace wigeonrill::routing
