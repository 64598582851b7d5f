#ifndef WIGEONRILL_HEALTH_OPERATING_POINT_H
#define WIGEONRILL_HEALTH_OPERATING_POINT_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief Parameters of the sequential test (CUSUM) for one setting of a service's health weight.
struct operating_point {
    double threshold{0.0};  ///< CUSUM level at which a target is sick: ln(1/a) in nats, with a
                            ///< the accepted probability of a false alarm
    double slowdown{3.0};   ///< slowdown r of a sick target that the test is designed for
    double tail_ratio{4.0}; ///< latency ratios above this count by their logarithm only, because
                            ///< healthy service times have heavier tails than the exponential model
    double max_answer_llr{7.0}; ///< upper bound of the evidence of one answer, in nats; below half
                                ///< of the threshold
    /// Slowdown of the other targets above which a shared cause is assumed and ejection is
    /// suppressed.
    double max_shared_slowdown{1.3};
    bool requires_two_domains{false}; ///< whether nodes of two failure domains must contribute
                                      ///< evidence

    friend bool operator==(const operating_point&, const operating_point&) = default;
};

/// \returns the operating point for a service's health weight: a = 1e-9 for detection, 1e-12 for
///          precision
[[nodiscard]] operating_point operating_point_of(config::health_weight weight);

} // namespace wigeonrill::health

#endif
