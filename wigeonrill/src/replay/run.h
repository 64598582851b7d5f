#ifndef WIGEONRILL_REPLAY_RUN_H
#define WIGEONRILL_REPLAY_RUN_H

#ifndef WIGEONRILL_REPLAY_MODULE
#error "Include wigeonrill/replay.h instead of this file."
#endif

namespace wigeonrill::replay {

/// \brief Replays a trace with a detection policy and scores the policy's decisions.
///
/// Recorded requests to a target that the policy ejected are skipped, since the node would not have
/// sent them. Of the requests to a target with reduced weight, that share is replayed. A probe gets
/// the next recorded answer of its target. Skipped requests are not sent to other targets, so the
/// additional load that an ejection puts on them is not modelled.
/// \param recorded the trace
/// \param tested a policy on which start() has not been called
/// \returns the scores; the same trace and policy give the same report
[[nodiscard]] report run(const trace& recorded, policy& tested);

} // namespace wigeonrill::replay

#endif
