#ifndef WIGEONRILL_PLATFORM_H
#define WIGEONRILL_PLATFORM_H

/// \file
/// \brief Reads targets, routes and services from the platform, the environment that wigeonrill
///        runs in.
///
/// The platform provides them in one of two ways. A configuration service stores whole versions of
/// the configuration, as a manifest and its shards (manifest_reader, manifest_reader_thread). A
/// store of records contains one registration for each target and one record with the operator's
/// rules (record_feed, inventory, feed_reader_thread).

#define WIGEONRILL_PLATFORM_MODULE

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <variant>

#include "config.h"

#include "src/platform/backoff.h"
#include "src/platform/call_budget.h"
#include "src/platform/manifest.h"
#include "src/platform/record_feed.h"
#include "src/platform/value_source.h"
#include "src/platform/watchers.h"
// Needs value_source.h.
#include "src/platform/http_value_source.h"
// Needs the headers above.
#include "src/platform/manifest_reader.h"
// Needs reader.h.
#include "src/platform/manifest_reader_thread.h"

#include "src/platform/inventory.h"
#include "src/platform/read_schedule.h"
#include "src/platform/read_sharing_group.h"
// Needs inventory.h and read_schedule.h.
#include "src/platform/feed_reader_thread.h"

#endif
