#include "wigeonrill/health.h"

#include <algorithm>
#include <cmath>

namespace wigeonrill::health {

namespace {

// Assumed share of failed attempts at a sick target.
constexpr double sick_failure_rate = 0.3;
// The failure rate of healthy targets is about 0.1%; twice that allows for the error of the
// estimate.
constexpr double min_usual_rate = 0.002;
// Healthy targets send truncated or invalid answers less often than status 500.
constexpr double usual_malformed_rate = 0.0005;

// In nats. Three failures reach the threshold of the detection weight, two don't.
constexpr double max_failure_llr = 7.0;

// Ratios above the tail limit grow by their logarithm only.
double compressed_ratio(double ratio, double tail) {
    return ratio <= tail ? ratio : tail * (1.0 + std::log(ratio / tail));
}

} // namespace

double latency_llr(double ratio, const operating_point& point) {
    const double nats = compressed_ratio(ratio, point.tail_ratio) * (1.0 - 1.0 / point.slowdown) -
                        std::log(point.slowdown);
    return std::clamp(nats, min_answer_llr, point.max_answer_llr);
}

double outstanding_llr(double ratio, const operating_point& point) {
    const double nats = compressed_ratio(ratio, point.tail_ratio) * (1.0 - 1.0 / point.slowdown);
    return std::min(nats, point.max_answer_llr);
}

bool is_failure(answer_kind kind) {
    return kind != answer_kind::ok && kind != answer_kind::shed && kind != answer_kind::cancelled;
}

double failure_llr(answer_kind kind, double usual_rate) {
    const double min_rate = kind == answer_kind::malformed ? usual_malformed_rate : min_usual_rate;
    const double healthy = std::max(min_rate, 2.0 * usual_rate);
    return std::clamp(std::log(sick_failure_rate / healthy), 0.0, max_failure_llr);
}

double success_llr() {
    return std::log(1.0 - sick_failure_rate);
}

} // namespace wigeonrill::health
