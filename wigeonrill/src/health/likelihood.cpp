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

// Three failures pass the threshold of detection, two don't.
constexpr double most_failure_llr = 7.0;

double compressed_ratio(double ratio, double tail) {
    return ratio <= tail ? ratio : tail * (1.0 + std::log(ratio / tail));
}

} // namespace

double latency_llr(double ratio, const operating_point& point) {
    const double nats = compressed_ratio(ratio, point.tail_ratio) * (1.0 - 1.0 / point.slowdown) -
                        std::log(point.slowdown);
    return std::clamp(nats, min_answer_llr, point.most_llr);
}

double outstanding_llr(double ratio, const operating_point& point) {
    const double nats = compressed_ratio(ratio, point.tail_ratio) * (1.0 - 1.0 / point.slowdown);
    return std::min(nats, point.most_llr);
}

bool is_failure(answer_kind kind) {
    return kind != answer_kind::ok && kind != answer_kind::shed && kind != answer_kind::cancelled;
}

double failure_llr(answer_kind kind, double usual_rate) {
    const double least = kind == answer_kind::malformed ? malformed_rate : least_usual_rate;
    const double healthy = std::max(least, 2.0 * usual_rate);
    return std::clamp(std::log(sick_failure_rate / healthy), 0.0, most_failure_llr);
}

double success_llr() {
    return std::log(1.0 - sick_failure_rate);
}

} // namespace wigeonrill::health
