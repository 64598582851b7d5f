#ifndef WIGEONRILL_HEALTH_H
#define WIGEONRILL_HEALTH_H

/// \file
/// \brief Detects sick targets from their answers and ejects them without breaking a service's
/// capacity floor.

#define WIGEONRILL_HEALTH_MODULE

#include <deque>

#include "config.h"

#include "src/health/answer.h"
#include "src/health/evidence_report.h"
#include "src/health/observation.h"
#include "src/health/operating_point.h"
#include "src/health/rate_limit.h"
#include "src/health/relay_node.h"
#include "src/health/verdict.h"
// Needs answer.h.
#include "src/health/likelihood.h"
// Needs verdict.h.
#include "src/health/ejection_policy.h"
// Needs the records above.
#include "src/health/ejection_tracker.h"
#include "src/health/evidence_pool.h"
#include "src/health/failure_baseline.h"
#include "src/health/failure_burst_estimate.h"
#include "src/health/fleet_nodes.h"
#include "src/health/latency_baseline.h"
#include "src/health/leaving_targets.h"
#include "src/health/shared_cause_detector.h"
#include "src/health/silence_evidence.h"
#include "src/health/target_reachability.h"
// Needs all of the above.
#include "src/health/monitor.h"

#endif
