#ifndef WIGEONRILL_ROUTING_H
#define WIGEONRILL_ROUTING_H

/// \file
/// \brief Route table, eligible targets, placement policies, concurrency limits.

#define WIGEONRILL_ROUTING_MODULE

#include "health.h"

#include "src/routing/view.h"

#endif
