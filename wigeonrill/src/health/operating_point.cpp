#include "wigeonrill/health.h"

#include <cmath>

namespace wigeonrill::health {

operating_point operating_point_of(config::health_weight weight) {
    const bool precise = weight == config::health_weight::precision;
    operating_point point;
    point.threshold = -std::log(precise ? 1e-12 : 1e-9);
    point.two_domains = precise;
    if (!precise) {
        // Faster by a quarter at ten times slower than the limits of precision, at the price of a
        // higher rate of false alarms for heavy tails (docs/notes/detection.md).
        point.tail_ratio = 8.0;
        point.most_llr = 10.0;
        point.shared_limit = 1.6;
    }
    return point;
}

} // namespace wigeonrill::health
