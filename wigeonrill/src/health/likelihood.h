#ifndef WIGEONRILL_HEALTH_LIKELIHOOD_H
#define WIGEONRILL_HEALTH_LIKELIHOOD_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief Lower bound of the evidence of one answer, in nats. Negative: in favor of the target.
inline constexpr double min_answer_llr = -1.0;

/// \brief Evidence from the latency of a complete answer.
/// \param ratio latency divided by the baseline of its route
/// \returns log-likelihood ratio of sick to healthy, in nats
[[nodiscard]] double latency_llr(double ratio, const operating_point& point);

/// \brief Evidence from a request that has no answer yet (a censored latency).
/// \param ratio age of the request divided by the baseline of its route
/// \returns log-likelihood ratio of sick to healthy, in nats
[[nodiscard]] double outstanding_llr(double ratio, const operating_point& point);

/// \returns whether the attempt failed because of the target or the link to it
[[nodiscard]] bool is_failure(answer_kind kind);

/// \brief Evidence from a failed attempt.
/// \param kind kind of the failure
/// \param usual_rate usual share of failures on the route, see failure_baseline::usual_rate()
/// \returns log-likelihood ratio of sick to healthy, in nats
[[nodiscard]] double failure_llr(answer_kind kind, double usual_rate);

/// \returns evidence from a complete answer whose latency can't be compared, in nats
[[nodiscard]] double success_llr();

} // namespace wigeonrill::health

#endif
