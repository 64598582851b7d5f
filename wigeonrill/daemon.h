#ifndef WIGEONRILL_DAEMON_H
#define WIGEONRILL_DAEMON_H

/// \file
/// \brief The daemon: settings, wiring, control thread, administration port, shutdown.

#define WIGEONRILL_DAEMON_MODULE

#include <memory>
#include <mutex>
#include <vector>

#include "config.h"
#include "observe.h"

#include "src/daemon/admin_server.h"
#include "src/daemon/event_queue.h"

#endif
