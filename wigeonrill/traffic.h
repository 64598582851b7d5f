#ifndef WIGEONRILL_TRAFFIC_H
#define WIGEONRILL_TRAFFIC_H

/// \file
/// \brief HTTP/1.1 server for callers, connections to targets, forwarding, refusals.

#define WIGEONRILL_TRAFFIC_MODULE

#include "health.h"

#include "src/traffic/refusal.h"
// Needs refusal.h.
#include "src/traffic/dispatcher.h"

#endif
