#ifndef WIGEONRILL_TRAFFIC_CONNECTION_REGISTRY_H
#define WIGEONRILL_TRAFFIC_CONNECTION_REGISTRY_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

namespace wigeonrill::traffic::detail {

/// \brief Set of the open caller connections. Thread-safe.
class connection_registry {
public:
    connection_registry();
    connection_registry(const connection_registry&) = delete;
    connection_registry& operator=(const connection_registry&) = delete;
    ~connection_registry();

    /// \brief Adds a connection.
    /// \returns the number of connections, including this one
    std::size_t add(int fd);
    /// \brief Removes a connection. Must be called before its descriptor is closed.
    void remove(int fd);
    /// \returns a descriptor that poll(2) reports as hung up once close_waiting() was called
    [[nodiscard]] int close_signal() const { return signal_read_fd_; }
    /// \brief Makes connections close that wait for a request now or start to wait later.
    void close_waiting();
    /// \brief Shuts every connection down in both directions, including those that serve a request.
    void abort_all();
    /// \brief Waits until all connections have been removed.
    /// \returns true when none is left, false when the deadline passed
    [[nodiscard]] bool wait_empty(instant deadline, const clock_source& clock);
    [[nodiscard]] std::size_t size() const;

private:
    mutable std::mutex mutex_;
    std::condition_variable all_closed_; ///< notified when open_fds_ becomes empty
    std::unordered_set<int> open_fds_;
    int signal_read_fd_{-1};  ///< read end of the pipe that close_signal() returns
    int signal_write_fd_{-1}; ///< write end; -1 once close_waiting() was called
};

} // namespace wigeonrill::traffic::detail

#endif
