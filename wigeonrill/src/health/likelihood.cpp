#include "wigeonrill/health.h"

#include <algorithm>
#include <cmath>

namespace wigeonrill::health {

namespace {

// Share of failed answers of a sick target.
constexpr double sick_failure_rate = 0.3;
// Healthy rates are 0.1%; twice that leaves room for the error of the estimate.
constexpr double least_usual_rate = 0.002;
// Truncated or invalid answers are rarer than 500s on a healthy target.
constexpr double malformed_rate = 0.0005;

double limited(double llr) {
    return std::clamp(llr, min_answer_llr, max_answer_llr);
}

} // namespace

double compressed_ratio(double ratio) {
    return ratio <= tail_ratio ? ratio : tail_ratio * (1.0 + std::log(ratio / tail_ratio));
}

double latency_llr(double ratio, double slowdown) {
    return limited(compressed_ratio(ratio) * (1.0 - 1.0 / slowdown) - std::log(slowdown));
}

double outstanding_llr(double ratio, double slowdown) {
    return limited(compressed_ratio(ratio) * (1.0 - 1.0 / slowdown));
}

bool is_failure(answer_kind kind) {
    return kind != answer_kind::ok && kind != answer_kind::shed && kind != answer_kind::cancelled;
}

double failure_llr(answer_kind kind, double usual_rate) {
    const double least = kind == answer_kind::malformed ? malformed_rate : least_usual_rate;
    const double healthy = std::max(least, 2.0 * usual_rate);
    return std::max(0.0, limited(std::log(sick_failure_rate / healthy)));
}

double success_llr() {
    return limited(std::log((1.0 - sick_failure_rate) / 1.0));
}

} // namespace wigeonrill::health
