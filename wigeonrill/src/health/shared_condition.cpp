#include "wigeonrill/health.h"

#include <algorithm>
#include <numbers>

namespace wigeonrill::health {

namespace {

constexpr seconds sample_lifetime{15};
constexpr double decay = 0.85;
// Weight of three fresh samples; fewer say nothing about the others.
constexpr double weight_needed = 2.4;
// A median of about nine samples errs by a third in normal operation; less is not taken for a
// slowdown, more is taken in full.
constexpr double least_slowdown = 1.5;
// Two failing targets may both be sick; three of three look like a shared cause.
constexpr std::size_t failing_needed = 3;

constexpr std::size_t latest_samples = 2;
constexpr seconds latest_lifetime{5};
// One very slow answer of another target must not look like a slowdown of all.
constexpr double most_latest_ratio = 5.0;

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

void shared_condition::add(std::uint32_t target, double ratio, instant now) {
    push({target, ratio, false, now});
}

void shared_condition::add_failure(std::uint32_t target, instant now) {
    push({target, 0.0, true, now});
}

void shared_condition::add_outstanding(std::uint32_t target, double ratio) {
    // A younger request is censored before it says anything.
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

double shared_condition::slowdown(std::uint32_t except, instant now) const {
    std::vector<weighted_ratio> ratios;
    double total = 0.0;
    double weight = 1.0;
    for (std::size_t age = 0; age < std::min(added_, memory); ++age) {
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
    if (total < weight_needed) {
        return 1.0;
    }
    const double factor = weighted_median(ratios, total) / std::numbers::ln2;
    return factor > least_slowdown ? factor : 1.0;
}

double shared_condition::latest(std::uint32_t except, instant now) const {
    double sum = 0.0;
    std::size_t samples = 0;
    const auto take = [&](double ratio) {
        sum += std::min(ratio, most_latest_ratio);
        ++samples;
    };
    for (std::size_t age = 0; age < std::min(added_, memory) && samples < latest_samples; ++age) {
        const auto& it = recent(age);
        if (it.target != except && !it.failed && now - it.at <= latest_lifetime) {
            take(it.ratio);
        }
    }
    return samples < latest_samples ? 0.0 : sum / static_cast<double>(samples);
}

bool shared_condition::most_fail(std::uint32_t except, instant now) const {
    std::vector<std::uint32_t> seen;
    std::size_t failing = 0;
    for (std::size_t age = 0; age < std::min(added_, memory); ++age) {
        const auto& it = recent(age);
        const bool known = std::find(seen.begin(), seen.end(), it.target) != seen.end();
        if (it.target == except || known || now - it.at > sample_lifetime) {
            continue;
        }
        seen.push_back(it.target);
        failing += it.failed ? 1 : 0;
    }
    return failing >= failing_needed && 2 * failing > seen.size();
}

void shared_condition::push(const sample& latest) {
    samples_[added_ % memory] = latest;
    ++added_;
}

const shared_condition::sample& shared_condition::recent(std::size_t age) const {
    return samples_[(added_ - 1 - age) % memory];
}

} // namespace wigeonrill::health
