#ifndef WIGEONRILL_HEALTH_LIKELIHOOD_H
#define WIGEONRILL_HEALTH_LIKELIHOOD_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief Least evidence of one answer, in nats.
inline constexpr double min_answer_llr = -1.0;

/// \brief Evidence of the latency of a whole answer.
/// \param ratio latency divided by the baseline of its route
/// \returns log-likelihood ratio between sick and healthy, in nats
[[nodiscard]] double latency_llr(double ratio, const operating_point& point);

/// \brief Evidence of a request that has no answer yet (a censored latency).
[[nodiscard]] double outstanding_llr(double ratio, const operating_point& point);

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
