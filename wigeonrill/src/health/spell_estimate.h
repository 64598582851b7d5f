#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead."
#endif

#ifndef WIGEONRILL_HEALTH_SPELL_ESTIMATE_H
#define WIGEONRILL_HEALTH_SPELL_ESTIMATE_H

namespace wigeonrill::health {

/// \brief Probability that a target is in a spell of failures. Not thread-safe.
///
/// A hidden Markov model of two states: a target falls ill and recovers at random, and each
/// observation multiplies the odds by its likelihood ratio. It answers load patterns in which
/// spells last seconds, so that a sequential test with a low rate of false alarms comes too late:
/// one failure moves work away, and without further failures the target is tried again after
/// seconds. It only orders targets and takes no capacity away. \sa monitor
class spell_estimate {
public:
    /// \brief Adds an observation.
    void add(observation_kind kind, instant now);
    /// \returns the probability that the target is in a spell at a time
    [[nodiscard]] double probability(instant now) const;

    /// Probability of a target of which nothing was seen lately.
    static constexpr double usual_probability = 0.09;

private:
    double probability_{usual_probability};
    instant updated_{instant::min()};
};

} // namespace wigeonrill::health

#endif
