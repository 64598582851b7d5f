#ifndef WIGEONRILL_QUOTA_H
#define WIGEONRILL_QUOTA_H

/// \file
/// \brief Rate limits of workspaces over the whole fleet: nodes ask a few granting nodes for the
///        credit of each request. See docs/design/workspace-limits.md.

#define WIGEONRILL_QUOTA_MODULE

#include <deque>

#include "config.h"

#include "src/quota/fleet_census.h"
#include "src/quota/part_allowance.h"
#include "src/quota/seat.h"
// Needs seat.h.
#include "src/quota/credit_messages.h"
// Needs credit_messages.h and fleet_census.h.
#include "src/quota/credit_granter.h"
#include "src/quota/seat_voter.h"
// Needs seat_voter.h and part_allowance.h.
#include "src/quota/credit_client.h"

#endif
