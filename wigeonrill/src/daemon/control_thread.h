#ifndef WIGEONRILL_DAEMON_CONTROL_THREAD_H
#define WIGEONRILL_DAEMON_CONTROL_THREAD_H

#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead of this file."
#endif

namespace wigeonrill::daemon {

/// \brief Runs the control loop and its peer link on one thread.
///
/// Other threads hand work over as tasks; the loop's objects are touched by this thread only.
class control_thread {
public:
    using task = std::function<void()>;

    /// \param loop must outlive this object
    /// \param link null: the node has no peers; else must outlive this object
    /// \param gossip null exactly when link is
    control_thread(control_loop& loop, peers::peer_link* link, peers::gossip_node* gossip,
                   const clock_source& clock);
    control_thread(const control_thread&) = delete;
    control_thread& operator=(const control_thread&) = delete;
    /// \brief Stops the thread after its present tick.
    ~control_thread();

    /// \brief Starts the thread.
    void start();
    /// \brief Hands over work that runs before the next tick.
    void post(task work);
    /// \brief Asks the loop for the changes since a version, and waits for it.
    /// \returns the changes, or unavailable when the thread stops
    [[nodiscard]] result<config::change_set> changes_since(std::uint64_t version);

private:
    void work();
    void run_tasks();
    void fetch_if_due();
    void fetch(const peers::fetch_request& request);
    void wait_for_datagrams(instant until);

    control_loop& loop_;
    peers::peer_link* link_;
    peers::gossip_node* gossip_;
    const clock_source& clock_;
    event_queue<task> tasks_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
    std::vector<std::future<void>> fetches_; ///< running calls to peers
};

} // namespace wigeonrill::daemon

#endif
