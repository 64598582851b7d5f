#ifndef WIGEONRILL_HEALTH_LIKELIHOOD_H
#define WIGEONRILL_HEALTH_LIKELIHOOD_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief Least evidence of one answer, in nats.
inline constexpr double min_answer_llr = -1.0;
/// \brief Most evidence of one answer, in nats; below half of every threshold.
inline constexpr double max_answer_llr = 7.0;
/// \brief Ratios above this grow with their logarithm only, because healthy service times have
/// heavier tails than the exponential model.
inline constexpr double tail_ratio = 4.0;

/// \param ratio latency divided by the baseline of its route
/// \returns the ratio with its tail compressed
[[nodiscard]] double compressed_ratio(double ratio);

/// \brief Evidence of the latency of a whole answer.
/// \param ratio latency divided by the baseline of its route
/// \param slowdown design slowdown r
/// \returns log-likelihood ratio between sick and healthy, in nats
[[nodiscard]] double latency_llr(double ratio, double slowdown);

/// \brief Evidence of a request that has no answer yet (a censored latency).
[[nodiscard]] double outstanding_llr(double ratio, double slowdown);

/// \returns whether the kind is a failure of the target or its link
[[nodiscard]] bool is_failure(answer_kind kind);

/// \brief Evidence of a failed attempt.
/// \param kind kind of the failure
/// \param usual_rate usual share of failures on the route, over all targets
[[nodiscard]] double failure_llr(answer_kind kind, double usual_rate);

/// \returns evidence of a whole answer on a route that has no latency baseline
[[nodiscard]] double success_llr();

} // namespace wigeonrill::health

#endif
