#ifndef WIGEONRILL_ROUTING_H
#define WIGEONRILL_ROUTING_H

/// \file
/// \brief Route lookup, eligible targets, placement policies and concurrency limits.

#define WIGEONRILL_ROUTING_MODULE

#include <cmath>
#include <map>
#include <span>

#include "health.h"

#include "src/routing/concurrency_limiter.h"
#include "src/routing/latency_mean.h"
#include "src/routing/load_hint.h"
#include "src/routing/node_group.h"
#include "src/routing/path_match.h"
#include "src/routing/peer_load.h"
#include "src/routing/placement_policy.h"
#include "src/routing/rate_limit_table.h"
#include "src/routing/route_host.h"
#include "src/routing/route_path.h"
#include "src/routing/route_table.h"
#include "src/routing/trial_age.h"
#include "src/routing/view.h"
// Needs placement_policy.h.
#include "src/routing/least_cost.h"
#include "src/routing/least_outstanding.h"
#include "src/routing/round_robin.h"
#include "src/routing/two_random_choices.h"

#endif
