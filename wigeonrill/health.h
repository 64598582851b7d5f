#ifndef WIGEONRILL_HEALTH_H
#define WIGEONRILL_HEALTH_H

/// \file
/// \brief Detection of sick targets from answers, and ejection under the floor.

#define WIGEONRILL_HEALTH_MODULE

#include "config.h"

#include "src/health/answer.h"
#include "src/health/evidence_report.h"
#include "src/health/verdict.h"

#endif
