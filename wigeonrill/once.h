#ifndef WIGEONRILL_ONCE_H
#define WIGEONRILL_ONCE_H

/// \file
/// \brief Runs requests at most once: idempotency keys and their owners, deduplication, and refusal
/// of requests that crash targets.

#define WIGEONRILL_ONCE_MODULE

#include <deque>

#include "config.h"

#include "src/once/crash_mark.h"
#include "src/once/idempotency_key.h"
#include "src/once/max_clock_skew.h"
#include "src/once/send_guard.h"
#include "src/once/stored_answer.h"
// Needs crash_mark.h.
#include "src/once/crash_containment.h"
// Needs idempotency_key.h.
#include "src/once/key_issuer.h"
#include "src/once/key_owner_policy.h"
// Needs stored_answer.h.
#include "src/once/dedup_table.h"

#endif
