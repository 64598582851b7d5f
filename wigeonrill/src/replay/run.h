#ifndef WIGEONRILL_REPLAY_RUN_H
#define WIGEONRILL_REPLAY_RUN_H

#ifndef WIGEONRILL_REPLAY_MODULE
#error "Include wigeonrill/replay.h instead of this file."
#endif

namespace wigeonrill::replay {

/// \brief Replays a trace over a policy.
///
/// Requests to a target that the policy ejected are skipped, since it would not have sent them;
/// of a target with less weight, a share. A probe gets the next recorded answer of its target.
/// Decisions that change the load of other targets are not modelled.
/// \param recorded the trace
/// \param tested a policy that was not started yet
[[nodiscard]] report run(const trace& recorded, policy& tested);

} // namespace wigeonrill::replay

#endif
