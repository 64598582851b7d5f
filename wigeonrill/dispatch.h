#ifndef WIGEONRILL_DISPATCH_H
#define WIGEONRILL_DISPATCH_H

/// \file
/// \brief Decisions on requests: thread-safe shell over routing, admission and once.

#define WIGEONRILL_DISPATCH_MODULE

#include <condition_variable>
#include <deque>
#include <mutex>
#include <variant>

#include "admission.h"
#include "once.h"
#include "routing.h"
#include "traffic.h"

#include "src/dispatch/decision_record.h"
#include "src/dispatch/moment.h"
#include "src/dispatch/outstanding_request.h"
#include "src/dispatch/refusals.h"
#include "src/dispatch/target_place.h"
// Needs target_place.h.
#include "src/dispatch/service_state.h"
// Needs refusals.h and moment.h.
#include "src/dispatch/key_gate.h"
// Needs decision_record.h.
#include "src/dispatch/event_sink.h"
// Needs service_state.h.
#include "src/dispatch/request_record.h"
// Needs the records above.
#include "src/dispatch/decision_core.h"
// Needs decision_core.h and event_sink.h.
#include "src/dispatch/request_dispatcher.h"

#endif
