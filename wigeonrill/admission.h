#ifndef WIGEONRILL_ADMISSION_H
#define WIGEONRILL_ADMISSION_H

/// \file
/// \brief Admission control: bounded queue with deadlines, estimate of the queue time, retry
///        budget, and rate limit per workspace.

#define WIGEONRILL_ADMISSION_MODULE

#include "config.h"

#include "src/admission/retry_budget.h"
#include "src/admission/wait_estimator.h"
#include "src/admission/wait_queue.h"
#include "src/admission/workspace_allowance.h"

#endif
