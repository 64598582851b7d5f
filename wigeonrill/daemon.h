#ifndef WIGEONRILL_DAEMON_H
#define WIGEONRILL_DAEMON_H

/// \file
/// \brief The proxy daemon: settings, start-up, control thread, administration port and shutdown.

#define WIGEONRILL_DAEMON_MODULE

#include <atomic>
#include <condition_variable>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <type_traits>
#include <variant>
#include <vector>

#include "dispatch.h"
#include "observe.h"
#include "peers.h"
#include "platform.h"
#include "traffic.h"

#include "src/daemon/admin_server.h"
#include "src/daemon/event_queue.h"
#include "src/daemon/finished_fetch.h"
#include "src/daemon/node_state.h"
#include "src/daemon/process_signals.h"
#include "src/daemon/reachability_checker.h"
#include "src/daemon/settings.h"
// Needs event_queue.h.
#include "src/daemon/traffic_event_sink.h"
// Needs node_state.h.
#include "src/daemon/view_builder.h"
// Needs traffic_event_sink.h and finished_fetch.h.
#include "src/daemon/control_loop.h"
// Needs admin_server.h and control_loop.h.
#include "src/daemon/control_thread.h"
#include "src/daemon/node_admin_queries.h"
#include "src/daemon/platform_binding.h"
// Needs platform_binding.h.
#include "src/daemon/application.h"
#include "src/daemon/platform_reader_adapter.h"
#include "src/daemon/store_reader_adapter.h"

#endif
