#ifndef WIGEONRILL_OBSERVE_H
#define WIGEONRILL_OBSERVE_H

/// \file
/// \brief Log lines in logfmt, and metrics in the Prometheus text format.

#define WIGEONRILL_OBSERVE_MODULE

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "base.h"

#include "src/observe/log_line.h"
#include "src/observe/log_subsystem.h"
// Needs log_line.h and log_subsystem.h.
#include "src/observe/log_sink.h"
#include "src/observe/metric_registry.h"

#endif
