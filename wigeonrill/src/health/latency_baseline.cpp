#include "wigeonrill/health.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace wigeonrill::health {

namespace {

constexpr std::uint32_t min_answers = 20;
// The margin for the estimate's error stops shrinking at this number of answers.
constexpr std::uint32_t settled_answers = 400;
// Steps of the median, in units of the natural logarithm of the latency.
constexpr double min_step = 0.02;
constexpr double initial_step = 0.5;
constexpr double max_step = 0.2;
// Answers in a row on one side of the median after which the step grows.
constexpr std::int32_t max_normal_run = 6;
// Seconds. Shorter latencies can't be distinguished, because the control thread adds a delay of
// this size.
constexpr double resolution = 0.0005;

double seconds_of(nanoseconds latency) {
    return std::max(resolution, std::chrono::duration<double>(latency).count());
}

} // namespace

void latency_baseline::add(nanoseconds latency, std::uint32_t target) {
    const double value = std::log(seconds_of(latency));
    targets_[answers_ % targets_kept] = target;
    ++answers_;
    if (answers_ == 1) {
        log_median_ = value;
        return;
    }
    const bool above = value > log_median_;
    run_length_ = above ? std::max(run_length_, 0) + 1 : std::min(run_length_, 0) - 1;
    double step = std::max(min_step, initial_step / std::sqrt(answers_));
    if (std::abs(run_length_) > max_normal_run) {
        step = std::min(max_step, step * (std::abs(run_length_) - max_normal_run + 1));
    }
    log_median_ += above ? step : -step;
}

bool latency_baseline::is_usable() const {
    if (answers_ < min_answers) {
        return false;
    }
    const auto known = std::min<std::size_t>(answers_, targets_kept);
    const auto* first = targets_.data();
    return std::any_of(first + 1, first + known, [&](std::uint32_t it) { return it != *first; });
}

double latency_baseline::ratio(nanoseconds latency) const {
    const double counted_answers = std::min(answers_, settled_answers);
    const double margin = 1.0 + 1.0 / std::sqrt(std::max(counted_answers, 1.0));
    const double mean = std::exp(log_median_) / std::numbers::ln2;
    return seconds_of(latency) / (mean * margin);
}

} // namespace wigeonrill::health
