#ifndef WIGEONRILL_PLATFORM_H
#define WIGEONRILL_PLATFORM_H

/// \file
/// \brief Reader and watcher of the platform's configuration service.

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
#include "src/platform/reader.h"
// Needs reader.h.
#include "src/platform/reader_thread.h"

#include "src/platform/inventory.h"
#include "src/platform/read_schedule.h"
#include "src/platform/reading_group.h"
// Needs inventory.h and read_schedule.h.
#include "src/platform/feed_thread.h"

#endif
