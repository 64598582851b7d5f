#ifndef WIGEONRILL_DAEMON_REACHABILITY_CHECKER_H
#define WIGEONRILL_DAEMON_REACHABILITY_CHECKER_H

#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead of this file."
#endif

namespace wigeonrill::daemon {

/// \brief Tries connections to targets on a thread of its own while this node may be cut off from
///        them, so that no caller's request has to find out.
class reachability_checker {
public:
    /// \brief Starts the thread.
    /// \param dispatcher names the connections to try; must outlive this object
    /// \param connect_time longest time for a connection
    reachability_checker(dispatch::request_dispatcher& dispatcher, milliseconds connect_time);
    reachability_checker(const reachability_checker&) = delete;
    reachability_checker& operator=(const reachability_checker&) = delete;
    /// \brief Stops the thread, after the connection that it is trying.
    ~reachability_checker();

private:
    void run();

    dispatch::request_dispatcher& dispatcher_;
    milliseconds connect_time_;
    std::mutex mutex_;
    std::condition_variable stop_requested_;
    bool stopping_{false};
    std::thread thread_;
};

} // namespace wigeonrill::daemon

#endif
