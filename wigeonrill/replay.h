#ifndef WIGEONRILL_REPLAY_H
#define WIGEONRILL_REPLAY_H

/// \file
/// \brief Recorded or generated traces of answers and faults, and their replay with detection
/// policies, which are scored in reports.

#define WIGEONRILL_REPLAY_MODULE

#include <iosfwd>

#include "health.h"

#include "src/replay/trace.h"
// Needs trace.h.
#include "src/replay/generator.h"
#include "src/replay/policy.h"
#include "src/replay/report.h"
#include "src/replay/trace_io.h"
// Needs policy.h and report.h.
#include "src/replay/baseline_policies.h"
#include "src/replay/monitor_policy.h"
#include "src/replay/run.h"

#endif
