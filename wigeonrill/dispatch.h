#ifndef WIGEONRILL_DISPATCH_H
#define WIGEONRILL_DISPATCH_H

/// \file
/// \brief Decides how each request is handled: route, admission, target, retries, idempotency key.
///
/// \c decision_core holds the logic as a single-threaded state machine; \c request_dispatcher wraps
/// it in a mutex for the traffic threads.

#define WIGEONRILL_DISPATCH_MODULE

#include <condition_variable>
#include <deque>
#include <limits>
#include <mutex>
#include <variant>

#include "admission.h"
#include "once.h"
#include "quota.h"
#include "routing.h"
#include "traffic.h"

#include "src/dispatch/clock_reading.h"
#include "src/dispatch/core_options.h"
#include "src/dispatch/decision_record.h"
#include "src/dispatch/outstanding_request.h"
#include "src/dispatch/refusals.h"
#include "src/dispatch/target_explanation.h"
#include "src/dispatch/target_record.h"
// Needs refusals.h and target_explanation.h.
#include "src/dispatch/explanation.h"
// Needs target_record.h and target_explanation.h.
#include "src/dispatch/service_state.h"
// Needs refusals.h and clock_reading.h.
#include "src/dispatch/key_admission.h"
// Needs decision_record.h.
#include "src/dispatch/event_sink.h"
// Needs service_state.h.
#include "src/dispatch/request_record.h"
// Needs key_admission.h, request_record.h and the other record types above.
#include "src/dispatch/decision_core.h"
// Needs decision_core.h and event_sink.h.
#include "src/dispatch/request_dispatcher.h"

#endif
