#ifndef WIGEONRILL_DAEMON_CONTROL_THREAD_H
#define WIGEONRILL_DAEMON_CONTROL_THREAD_H

#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead of this file."
#endif

namespace wigeonrill::daemon {

/// \brief Thread that runs the control loop and exchanges messages with peers.
///
/// Only this thread accesses the loop and the objects that the loop uses. Other threads pass it
/// tasks and queries.
class control_thread {
public:
    using task = std::function<void()>;

    /// \param loop must outlive this object
    /// \param link connection to the peers, which must outlive this object; null when the node has
    ///             no peers
    /// \param gossip membership protocol, which must outlive this object; null if link is null
    control_thread(control_loop& loop, peers::peer_link* link, peers::gossip_node* gossip,
                   const clock_source& clock);
    control_thread(const control_thread&) = delete;
    control_thread& operator=(const control_thread&) = delete;
    ~control_thread();

    /// \brief Starts the thread.
    void start();
    /// \brief Stops the thread after its current tick and joins it. Tasks that are still queued, or
    ///        posted later, never run.
    void stop();
    /// \brief Queues a task that runs before the next tick, or drops it when the queue is full.
    void post(task work);
    /// \brief Runs a query on the control thread between two ticks and waits for its result.
    /// \param query function that is called with the loop
    /// \returns the result, or timed_out when the control thread is busy or has stopped
    template <typename Query>
    [[nodiscard]] auto run_query(Query query)
        -> result<std::invoke_result_t<Query, control_loop&>> {
        using answer = std::invoke_result_t<Query, control_loop&>;
        auto promise = std::make_shared<std::promise<answer>>();
        auto future = promise->get_future();
        post([this, promise, query = std::move(query)] { promise->set_value(query(loop_)); });
        if (future.wait_for(query_timeout) != std::future_status::ready) {
            return failed(error_kind::timed_out, "the control thread did not answer within 2 s",
                          "repeat the query later or send it to another node");
        }
        return future.get();
    }

private:
    static constexpr seconds query_timeout{2};

    void run();
    void run_tasks();
    /// Call to a peer for configuration changes.
    struct running_fetch {
        node_id peer;
        std::shared_ptr<peers::transfer_progress> progress;
        std::size_t bytes_seen{0};
        std::future<finished_fetch> result;
    };

    /// Starts a call that is due, and handles the progress and the end of those in progress.
    void run_fetches();
    void end_fetch(const finished_fetch& ended);
    void wait_for_datagrams(instant until);

    control_loop& loop_;
    peers::peer_link* link_;
    peers::gossip_node* gossip_;
    const clock_source& clock_;
    event_queue<task> tasks_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
    std::vector<running_fetch> fetches_;
};

} // namespace wigeonrill::daemon

#endif
