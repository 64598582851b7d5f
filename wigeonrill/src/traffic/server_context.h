#ifndef WIGEONRILL_TRAFFIC_SERVER_CONTEXT_H
#define WIGEONRILL_TRAFFIC_SERVER_CONTEXT_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

#include "connection_registry.h"
#include "target_pool.h"

namespace wigeonrill::traffic::detail {

/// \brief What the threads of one server share.
struct server_context {
    server_context(server_options settings, dispatcher& deciding, const clock_source& time)
        : options(std::move(settings)), decisions(&deciding), clock(&time), pool(time) {}

    void log(const std::string& line) const {
        if (options.log) {
            options.log("traffic: " + line);
        }
    }

    server_options options;
    dispatcher* decisions;
    const clock_source* clock;
    target_pool pool;
    connection_registry connections;
    std::atomic<bool> draining{false};
    std::atomic<std::uint64_t> next_id{1};
};

} // namespace wigeonrill::traffic::detail

#endif
