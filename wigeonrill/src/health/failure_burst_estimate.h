#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead."
#endif

#ifndef WIGEONRILL_HEALTH_FAILURE_BURST_ESTIMATE_H
#define WIGEONRILL_HEALTH_FAILURE_BURST_ESTIMATE_H

namespace wigeonrill::health {

/// \brief Estimates the probability that a target is in a burst of failures. Not thread-safe.
///
/// A hidden Markov model with two states (Gilbert-Elliott): a target starts and ends a burst at
/// random, and each observation multiplies the odds of a burst by its likelihood ratio. It covers
/// bursts that last only seconds, for which a sequential test with a low rate of false alarms
/// reacts too late. One failure moves requests to other targets; without further failures the
/// target is tried again after seconds. The estimate only ranks targets and removes no capacity.
/// \sa monitor
class failure_burst_estimate {
public:
    /// \brief Adds an observation.
    void add(observation_kind kind, instant now);
    /// \returns the probability that the target is in a burst of failures at a time
    [[nodiscard]] double probability(instant now) const;

    /// Probability for a target without recent observations.
    static constexpr double prior_probability = 0.09;

    /// \returns the time of the last failed or late answer; instant::min() if there was none
    [[nodiscard]] instant last_bad_at() const { return last_bad_at_; }

private:
    instant last_bad_at_{instant::min()};
    double probability_{prior_probability};
    instant updated_{instant::min()};
};

} // namespace wigeonrill::health

#endif
