#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead."
#endif

#ifndef WIGEONRILL_HEALTH_SPELL_ESTIMATE_H
#define WIGEONRILL_HEALTH_SPELL_ESTIMATE_H

namespace wigeonrill::health {

/// \brief What one answer, or its absence, says about a target.
enum class observation_kind : std::uint8_t {
    good,     ///< a prompt success
    failed,   ///< an error, a broken answer, no connection or a shed
    late,     ///< no answer after a multiple of the usual time
    load_only ///< it says nothing but the load
};

/// \brief Names of the observation kinds in logs.
inline constexpr enum_name_table<observation_kind, 4> observation_kind_names{{
    {observation_kind::good, "good"},
    {observation_kind::failed, "failed"},
    {observation_kind::late, "late"},
    {observation_kind::load_only, "load_only"},
}};

/// \brief One observation of a target, own or of another node.
struct observation {
    service_name service;
    target_id target;
    observation_kind kind{observation_kind::good};
    std::int32_t load{-1}; ///< requests in the target as it reported, -1: not reported

    friend bool operator==(const observation&, const observation&) = default;
};

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

private:
    double probability_{usual_probability};
    instant updated_{instant::min()};

    static constexpr double usual_probability = 0.05;
};

} // namespace wigeonrill::health

#endif
