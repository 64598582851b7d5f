#include "wigeonrill/health.h"

#include <cmath>

namespace wigeonrill::health {

operating_point operating_point_of(config::health_weight weight) {
    const bool precise = weight == config::health_weight::precision;
    operating_point point;
    point.threshold = -std::log(precise ? 1e-12 : 1e-9);
    point.requires_two_domains = precise;
    if (!precise) {
        // Detects a slowdown by ten a quarter faster than the limits of the precision weight, with
        // more false alarms for heavy-tailed latencies (docs/notes/detection.md).
        point.tail_ratio = 8.0;
        point.max_answer_llr = 10.0;
        point.max_shared_slowdown = 1.6;
    }
    return point;
}

} // namespace wigeonrill::health
