#ifndef WIGEONRILL_TRAFFIC_ABANDONED_CONNECTIONS_H
#define WIGEONRILL_TRAFFIC_ABANDONED_CONNECTIONS_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

#include "silence_check.h"
#include "target_pool.h"

#include <thread>

namespace wigeonrill::traffic::detail {

/// \brief Connection of an attempt that was given up while its target seemed silent.
struct abandoned_connection {
    connection_ptr connection;
    std::unique_ptr<silence_check> check;
    request_info request;
    target_id target;
};

/// \brief Keeps the connections of attempts that were given up while their targets seemed silent.
///        Thread-safe.
///
/// If such a connection ends without a byte of the answer, after new ones had failed for a while,
/// the process that had the request is gone, and the dispatcher is told. A target that answers or
/// accepts connections was only slow; then the connection is closed, which cancels the request.
class abandoned_connections {
public:
    abandoned_connections(dispatcher& decisions, const clock_source& clock)
        : decisions_(&decisions), clock_(&clock) {}
    abandoned_connections(const abandoned_connections&) = delete;
    abandoned_connections& operator=(const abandoned_connections&) = delete;
    ~abandoned_connections();

    /// \brief Takes a connection over. When there are too many, it is closed at once.
    void add(abandoned_connection one);

private:
    struct entry {
        abandoned_connection one;
        instant expires{};
        bool has_ended_output{false}; ///< the node has closed its sending direction
    };

    void run();
    /// \returns true when the connection is to be kept
    [[nodiscard]] bool check(entry& it, instant now);

    dispatcher* decisions_;
    const clock_source* clock_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<abandoned_connection> added_; ///< not taken by the thread yet
    std::size_t size_{0};                     ///< of all connections
    bool stopping_{false};
    std::thread thread_;         ///< started with the first connection
    std::vector<entry> entries_; ///< used by the thread only
};

} // namespace wigeonrill::traffic::detail

#endif
