#ifndef WIGEONRILL_TRAFFIC_TARGET_POOL_H
#define WIGEONRILL_TRAFFIC_TARGET_POOL_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

#include "message_reader.h"

namespace wigeonrill::traffic::detail {

/// \brief Connection to a target or node. The destructor closes it.
class target_connection {
public:
    target_connection(int fd, const clock_source& clock)
        : fd_(fd), serial_(next_serial()), reader_(fd, clock) {}
    target_connection(const target_connection&) = delete;
    target_connection& operator=(const target_connection&) = delete;
    ~target_connection();

    [[nodiscard]] int fd() const { return fd_; }
    /// \returns a number that no other connection of this process has
    [[nodiscard]] std::uint64_t serial() const { return serial_; }
    [[nodiscard]] message_reader& reader() { return reader_; }
    /// \returns true when the connection has carried a request and its answer
    [[nodiscard]] bool used() const { return used_; }
    /// \returns true when a target has refused a request on the connection
    [[nodiscard]] bool carried_refusal() const { return carried_refusal_; }
    void mark_refusal() { carried_refusal_ = true; }
    /// \returns when the last answer on the connection was complete
    [[nodiscard]] instant last_used() const { return last_used_; }
    /// \brief Records that a request and its answer are complete.
    void mark_used(instant now) {
        used_ = true;
        last_used_ = now;
    }

private:
    [[nodiscard]] static std::uint64_t next_serial();

    int fd_;
    std::uint64_t serial_;
    message_reader reader_;
    bool used_{false};
    bool carried_refusal_{false};
    instant last_used_{};
};

using connection_ptr = std::unique_ptr<target_connection>;

/// \brief Pool of idle connections to targets and nodes. Thread-safe.
class target_pool {
public:
    explicit target_pool(const clock_source& clock) : clock_(&clock) {}

    /// \brief Removes and returns the most recently used connection that is open and without input.
    /// \param max_idle longest time since its last use
    /// \returns a connection, or null if there is none
    [[nodiscard]] connection_ptr take(const endpoint& address, milliseconds max_idle);
    /// \brief Adds a connection whose last answer was complete and is followed by no bytes.
    void put(const endpoint& address, connection_ptr connection);
    /// \brief Closes the idle connections to an address. Used when a target there became silent.
    void close_idle(const endpoint& address);
    /// \brief Closes the idle connections that expired or on which bytes arrived, at most once per
    ///        second.
    void close_unusable();
    /// \brief Opens a connection within the time limit.
    /// \returns the connection, or null on failure
    [[nodiscard]] connection_ptr connect(const endpoint& address, milliseconds limit) const;

private:
    using idle_list = std::vector<connection_ptr>;
    /// \brief Moves connections that were idle for too long, or are not open without input, to the
    ///        given list, at most once per second. The caller closes them by destroying the list.
    void collect_unusable(idle_list& unusable);

    const clock_source* clock_;
    std::mutex mutex_;
    std::map<endpoint, idle_list> idle_;
    instant next_sweep_{}; ///< when expired connections are collected again
};

} // namespace wigeonrill::traffic::detail

#endif
