#ifndef WIGEONRILL_DAEMON_PROCESS_SIGNALS_H
#define WIGEONRILL_DAEMON_PROCESS_SIGNALS_H

#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead of this file."
#endif

namespace wigeonrill::daemon {

/// \brief Request to the process, from the operating system or an operator.
enum class process_request : std::uint8_t {
    none,   ///< nothing was requested
    stop,   ///< graceful shutdown: SIGTERM, first SIGINT, POST /drain
    force,  ///< second SIGINT
    reload, ///< SIGHUP: read the configuration file again
};

/// \brief Receives the signals of the process on one thread. Create one object per process.
///
/// The signals are blocked in all threads and read with sigtimedwait(), so that no code runs in a
/// signal handler.
class process_signals {
public:
    /// \brief Blocks the signals. Create the object before any thread starts.
    process_signals();

    /// \brief Waits for a signal or until the time is over.
    /// \param wait maximum time to wait
    /// \returns the request, or none; stop is returned once only
    [[nodiscard]] process_request wait_for_request(milliseconds wait);
    /// \brief Requests a stop, as SIGTERM does. Thread-safe.
    void request_stop() { stop_requested_ = true; }

private:
    std::atomic<bool> stop_requested_{false};
    bool interrupted_{false};   ///< a SIGINT has been received
    bool stop_reported_{false}; ///< wait_for_request() has returned stop
};

} // namespace wigeonrill::daemon

#endif
