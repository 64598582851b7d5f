#ifndef WIGEONRILL_ADMISSION_H
#define WIGEONRILL_ADMISSION_H

/// \file
/// \brief Bounded queue with deadlines, retry budget, workspace allowance, quick refusals.

#define WIGEONRILL_ADMISSION_MODULE

#include "config.h"

#include "src/admission/request_budget.h"
#include "src/admission/wait_estimator.h"
#include "src/admission/wait_queue.h"
#include "src/admission/workspace_allowance.h"

#endif
