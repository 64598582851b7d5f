#ifndef WIGEONRILL_HEALTH_FAILURE_SHARE_H
#define WIGEONRILL_HEALTH_FAILURE_SHARE_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead."
#endif

namespace wigeonrill::health {

/// \brief Share of a service's recent answers that were failures. Not thread-safe.
///
/// Old answers fade exponentially. It tells a service that is in trouble as a whole, whose work
/// must be spread over all targets, from one in which single targets have spells.
class failure_share {
public:
    /// \brief Adds an observation of any target of the service; counts alone are ignored.
    void add(observation_kind kind, instant now);
    /// \returns the share in [0, 1]; 0 while little is known
    [[nodiscard]] double at(instant now) const;

private:
    [[nodiscard]] double kept(instant now) const;

    double answers_{0.0}; ///< faded count as of updated_
    double failed_{0.0};
    instant updated_{instant::min()};
};

} // namespace wigeonrill::health

#endif
