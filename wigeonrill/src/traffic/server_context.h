#ifndef WIGEONRILL_TRAFFIC_SERVER_CONTEXT_H
#define WIGEONRILL_TRAFFIC_SERVER_CONTEXT_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

#include "abandoned_connections.h"
#include "body_memory.h"
#include "connection_registry.h"
#include "target_pool.h"

namespace wigeonrill::traffic::detail {

/// \brief State that the threads of one server share.
struct server_context {
    server_context(server_options settings, dispatcher& server_dispatcher, const clock_source& time)
        : options(std::move(settings)), decisions(&server_dispatcher), clock(&time), pool(time),
          abandoned(server_dispatcher, time), large_bodies(options.body_memory_bytes),
          large_answers(options.body_memory_bytes) {}

    /// \brief Passes a line to the log callback, if there is one.
    void log(const std::string& line) const {
        if (options.log) {
            options.log("traffic: " + line);
        }
    }

    server_options options;
    dispatcher* decisions;
    const clock_source* clock;
    target_pool pool;                  ///< idle connections to targets and nodes
    abandoned_connections abandoned;   ///< to targets that went silent
    body_memory large_bodies;          ///< for bodies that take more than each may
    body_memory large_answers;         ///< the same for the bodies of answers
    connection_registry connections;   ///< open caller connections
    std::atomic<bool> draining{false}; ///< connections are closed after their last answer
    std::atomic<instant> answer_by{instant::max()}; ///< answers must have begun by then
    std::atomic<std::uint64_t> next_id{1};          ///< identifier of the next request
};

} // namespace wigeonrill::traffic::detail

#endif
