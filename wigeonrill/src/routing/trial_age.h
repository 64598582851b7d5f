#ifndef WIGEONRILL_ROUTING_TRIAL_AGE_H
#define WIGEONRILL_ROUTING_TRIAL_AGE_H

#ifndef WIGEONRILL_ROUTING_MODULE
#error "Include wigeonrill/routing.h instead of this file."
#endif

namespace wigeonrill::routing {

/// \brief Time after a bad answer from which on a target is tried in any case.
inline constexpr seconds max_rest{10};
/// \brief Time without a bad answer after which a target counts as settled: it may be sound.
inline constexpr seconds settling_time{2};

/// \brief Decides which of the targets suspected of failing are tried again.
///
/// A trial of a target that still fails costs a caller its answer, while a target that has
/// recovered and isn't tried is capacity out of use. The longer ago a target's last bad answer, the
/// more likely it has recovered. So targets rest as long as the recovered ones among those that
/// rest are probably but a small share of a service's sound targets, and those that have rested
/// longest are tried first. This load pattern is that of many targets that each fail for seconds
/// now and then.
///
/// Targets whose first bad answers came together also rest together, and nothing tells whether they
/// have recovered. So those that have settled without a trial are a limited share of all settled
/// targets. This load pattern is that of a fleet that has just started and learns within a second
/// of all the targets that are failing.
///
/// \param rests time since the last bad answer of each suspected target
/// \param in_use number of targets that are not suspected and have settled
/// \returns the time since its last bad answer after which a suspected target is tried; at most
///          max_rest
[[nodiscard]] nanoseconds choose_trial_age(std::vector<nanoseconds> rests, std::size_t in_use);

} // namespace wigeonrill::routing

#endif
