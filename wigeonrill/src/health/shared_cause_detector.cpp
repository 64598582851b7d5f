#include "wigeonrill/health.h"

#include <algorithm>
#include <numbers>

namespace wigeonrill::health {

namespace {

constexpr seconds sample_lifetime{15};
// Weight of a sample relative to the next newer one.
constexpr double decay = 0.85;
// Weight of three new samples; with less, the state of the other targets is not known.
constexpr double min_weight = 2.4;
// The median of about nine samples has an error of a third in normal operation. A smaller factor is
// not taken for a slowdown; a larger one is used in full.
constexpr double min_slowdown = 1.5;
// Two failing targets may both be sick; with three of three a shared cause is more likely.
constexpr std::size_t min_failing = 3;

constexpr std::size_t latest_samples = 2;
constexpr seconds latest_lifetime{5};
// Limits the effect of a single very slow answer, which is not a slowdown of all targets.
constexpr double max_latest_ratio = 5.0;

using weighted_ratio = std::pair<double, double>;

double weighted_median(std::vector<weighted_ratio>& ratios, double total) {
    std::sort(ratios.begin(), ratios.end());
    double sum = 0.0;
    for (const auto& [ratio, weight] : ratios) {
        sum += weight;
        if (2 * sum >= total) {
            return ratio;
        }
    }
    return 0.0;
}

} // namespace

void shared_cause_detector::add(std::uint32_t target, double ratio, instant now) {
    push({target, ratio, false, now});
}

void shared_cause_detector::add_failure(std::uint32_t target, instant now) {
    push({target, 0.0, true, now});
}

void shared_cause_detector::add_outstanding(std::uint32_t target, double ratio) {
    // The latency of a younger request is still unknown.
    if (ratio <= 1.0) {
        return;
    }
    for (auto& [known, highest] : outstanding_) {
        if (known == target) {
            highest = std::max(highest, ratio);
            return;
        }
    }
    outstanding_.emplace_back(target, ratio);
}

double shared_cause_detector::slowdown(std::uint32_t except, instant now) const {
    std::vector<weighted_ratio> ratios;
    double total = 0.0;
    double weight = 1.0;
    for (std::size_t age = 0; age < std::min(added_, samples_kept); ++age) {
        const auto& it = recent(age);
        if (it.target == except || it.failed || now - it.at > sample_lifetime) {
            continue;
        }
        ratios.emplace_back(it.ratio, weight);
        total += weight;
        weight *= decay;
    }
    for (const auto& [target, ratio] : outstanding_) {
        if (target != except) {
            ratios.emplace_back(ratio, 1.0);
            total += 1.0;
        }
    }
    if (total < min_weight) {
        return 1.0;
    }
    const double factor = weighted_median(ratios, total) / std::numbers::ln2;
    return factor > min_slowdown ? factor : 1.0;
}

double shared_cause_detector::latest_ratio(std::uint32_t except, instant now) const {
    double sum = 0.0;
    std::size_t samples = 0;
    const auto take = [&](double ratio) {
        sum += std::min(ratio, max_latest_ratio);
        ++samples;
    };
    for (std::size_t age = 0; age < std::min(added_, samples_kept) && samples < latest_samples;
         ++age) {
        const auto& it = recent(age);
        if (it.target != except && !it.failed && now - it.at <= latest_lifetime) {
            take(it.ratio);
        }
    }
    return samples < latest_samples ? 0.0 : sum / static_cast<double>(samples);
}

bool shared_cause_detector::most_others_fail(std::uint32_t except, instant now) const {
    std::vector<std::uint32_t> seen;
    std::size_t failing = 0;
    for (std::size_t age = 0; age < std::min(added_, samples_kept); ++age) {
        const auto& it = recent(age);
        const bool known = std::find(seen.begin(), seen.end(), it.target) != seen.end();
        if (it.target == except || known || now - it.at > sample_lifetime) {
            continue;
        }
        seen.push_back(it.target);
        failing += it.failed ? 1 : 0;
    }
    return failing >= min_failing && 2 * failing > seen.size();
}

void shared_cause_detector::push(const sample& latest) {
    samples_[added_ % samples_kept] = latest;
    ++added_;
}

const shared_cause_detector::sample& shared_cause_detector::recent(std::size_t age) const {
    return samples_[(added_ - 1 - age) % samples_kept];
}

} // namespace wigeonrill::health
