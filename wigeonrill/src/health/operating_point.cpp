#include "wigeonrill/health.h"

#include <cmath>

namespace wigeonrill::health {

operating_point operating_point_of(config::health_weight weight) {
    const bool precise = weight == config::health_weight::precision;
    const double false_alarm_rate = precise ? 1e-12 : 1e-9;
    return {-std::log(false_alarm_rate), 3.0, precise};
}

} // namespace wigeonrill::health
