#ifndef WIGEONRILL_TRAFFIC_CONNECTION_REGISTRY_H
#define WIGEONRILL_TRAFFIC_CONNECTION_REGISTRY_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

namespace wigeonrill::traffic::detail {

/// \brief Live caller connections. Thread-safe.
class connection_registry {
public:
    connection_registry();
    connection_registry(const connection_registry&) = delete;
    connection_registry& operator=(const connection_registry&) = delete;
    ~connection_registry();

    /// \brief Adds a connection.
    /// \returns the number of connections, with this one
    std::size_t add(int fd);
    /// \brief Removes a connection before its descriptor is closed.
    void remove(int fd);
    /// \returns a descriptor that hangs up when waiting connections are to close
    [[nodiscard]] int close_signal() const { return signal_out_; }
    /// \brief Wakes connections that wait for a request, so that they close, now and from now on.
    void close_waiting();
    /// \brief Breaks off every connection.
    void abort_all();
    /// \brief Waits until no connection is left.
    /// \returns true when none is left, false when the deadline passed
    [[nodiscard]] bool wait_empty(instant deadline, const clock_source& clock);
    [[nodiscard]] std::size_t size() const;

private:
    mutable std::mutex mutex_;
    std::condition_variable empty_;
    std::unordered_set<int> live_;
    int signal_out_{-1};
    int signal_in_{-1};
};

} // namespace wigeonrill::traffic::detail

#endif
