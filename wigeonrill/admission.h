#ifndef WIGEONRILL_ADMISSION_H
#define WIGEONRILL_ADMISSION_H

/// \file
/// \brief Admission control: bounded queue by urgency, estimate of the queue time, priorities
///        under overload, retry budget, and rate limit per workspace.

#define WIGEONRILL_ADMISSION_MODULE

#include <map>
#include <set>
#include <tuple>

#include "config.h"

#include "src/admission/expected_work.h"
#include "src/admission/priority_gate.h"
#include "src/admission/queue_load.h"
#include "src/admission/retry_budget.h"
#include "src/admission/return_time.h"
#include "src/admission/served_shares.h"
#include "src/admission/serving_turns.h"
#include "src/admission/wait_estimator.h"
// Needs expected_work.h.
#include "src/admission/urgency.h"
// Needs urgency.h and serving_turns.h.
#include "src/admission/wait_queue.h"
// Needs all types above.
#include "src/admission/waiting_room.h"
#include "src/admission/workspace_allowance.h"

#endif
