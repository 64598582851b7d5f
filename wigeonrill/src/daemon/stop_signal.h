#ifndef WIGEONRILL_DAEMON_STOP_SIGNAL_H
#define WIGEONRILL_DAEMON_STOP_SIGNAL_H

#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead of this file."
#endif

namespace wigeonrill::daemon {

/// \brief What the operating system or an operator asked the process to do.
enum class process_request : std::uint8_t {
    none,
    stop,   ///< graceful shutdown: SIGTERM, first SIGINT, POST /drain
    force,  ///< second SIGINT
    reload, ///< SIGHUP: read the configuration file again
};

/// \brief Collects process signals in one thread. One object per process.
///
/// Signals are blocked in all threads and taken with sigtimedwait(), so no code runs in a handler.
class stop_signal {
public:
    /// \brief Blocks the signals; call it before any thread is started.
    stop_signal();

    /// \brief Waits for a request.
    /// \param wait longest time to wait
    [[nodiscard]] process_request next(milliseconds wait);
    /// \brief Requests a stop from another thread, as SIGTERM does.
    void request_stop() { stop_requested_ = true; }

private:
    std::atomic<bool> stop_requested_{false};
    bool interrupted_{false};
    bool stop_reported_{false};
};

} // namespace wigeonrill::daemon

#endif
