#ifndef WIGEONRILL_TRAFFIC_TARGET_POOL_H
#define WIGEONRILL_TRAFFIC_TARGET_POOL_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

#include "message_reader.h"

namespace wigeonrill::traffic::detail {

/// \brief Connection to a target or node. Closed by its destructor.
class target_connection {
public:
    target_connection(int fd, const clock_source& clock) : fd_(fd), reader_(fd, clock) {}
    target_connection(const target_connection&) = delete;
    target_connection& operator=(const target_connection&) = delete;
    ~target_connection();

    [[nodiscard]] int fd() const { return fd_; }
    [[nodiscard]] message_reader& reader() { return reader_; }
    /// \returns true when it already carried an exchange
    [[nodiscard]] bool used() const { return used_; }
    [[nodiscard]] instant last_used() const { return last_used_; }
    /// \brief Notes the end of an exchange.
    void mark_used(instant now) {
        used_ = true;
        last_used_ = now;
    }

private:
    int fd_;
    message_reader reader_;
    bool used_{false};
    instant last_used_{};
};

using connection_ptr = std::unique_ptr<target_connection>;

/// \brief Idle connections to targets and nodes. Thread-safe.
class target_pool {
public:
    explicit target_pool(const clock_source& clock) : clock_(&clock) {}

    /// \brief Takes the most recently used connection that is still quiet.
    /// \param longest_idle older connections are not taken
    /// \returns a connection, or null
    [[nodiscard]] connection_ptr take(const endpoint& address, milliseconds longest_idle);
    /// \brief Keeps a connection whose last exchange was complete and left no bytes behind.
    void put(const endpoint& address, connection_ptr connection);
    /// \brief Closes the idle connections to an address, after one of its connections went silent.
    void forget(const endpoint& address);
    /// \brief Opens a connection.
    /// \returns the connection, or null
    [[nodiscard]] connection_ptr connect(const endpoint& address, milliseconds limit) const;

private:
    using idle_list = std::vector<connection_ptr>;
    /// \brief Moves connections that were idle too long to the list of those to close.
    void collect_old(idle_list& old);

    const clock_source* clock_;
    std::mutex mutex_;
    std::map<endpoint, idle_list> idle_;
    instant next_sweep_{};
};

} // namespace wigeonrill::traffic::detail

#endif
