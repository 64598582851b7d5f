#ifndef WIGEONRILL_TRAFFIC_H
#define WIGEONRILL_TRAFFIC_H

/// \file
/// \brief HTTP/1.1 server for callers and client side for targets and other nodes: parsing,
/// forwarding, connection reuse and refusals.

#define WIGEONRILL_TRAFFIC_MODULE

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <unordered_set>

#include "health.h"

#include "src/traffic/caller_watch.h"
#include "src/traffic/connect.h"
#include "src/traffic/header_names.h"
#include "src/traffic/http_get_client.h"
#include "src/traffic/refusal.h"
// Needs refusal.h.
#include "src/traffic/dispatcher.h"
// Needs dispatcher.h.
#include "src/traffic/server.h"

#endif
