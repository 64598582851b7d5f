#ifndef WIGEONRILL_HEALTH_OPERATING_POINT_H
#define WIGEONRILL_HEALTH_OPERATING_POINT_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief Parameters of the sequential test for one weight.
struct operating_point {
    double threshold{0.0};  ///< CUSUM level that makes a target sick, ln(1/a) in nats
    double slowdown{3.0};   ///< design slowdown r of the likelihood ratio
    double tail_ratio{4.0}; ///< latency ratios above this grow with their logarithm only, because
                            ///< healthy service times have heavier tails than the exponential model
    double most_llr{7.0};   ///< most evidence of one answer, in nats; below half of the threshold
    /// Slowdown of the other targets above which an ejection is held back for a shared cause.
    double shared_limit{1.3};
    bool two_domains{false}; ///< evidence must come from two failure domains

    friend bool operator==(const operating_point&, const operating_point&) = default;
};

/// \returns the operating point of a service's weight: a = 1e-9 for detection, 1e-12 for precision
[[nodiscard]] operating_point operating_point_of(config::health_weight weight);

} // namespace wigeonrill::health

#endif
