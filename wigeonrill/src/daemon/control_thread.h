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
    ~control_thread();

    /// \brief Starts the thread.
    void start();
    /// \brief Ends the thread after its present tick; work handed over later never runs.
    void stop();
    /// \brief Hands over work that runs before the next tick.
    void post(task work);
    /// \brief Runs a query between two ticks and waits for its answer.
    /// \param query called on the control thread with the loop
    /// \returns the answer, or timed_out when the thread is busy or stops
    template <typename Query>
    [[nodiscard]] auto ask(Query query) -> result<std::invoke_result_t<Query, control_loop&>> {
        using answer = std::invoke_result_t<Query, control_loop&>;
        auto promise = std::make_shared<std::promise<answer>>();
        auto future = promise->get_future();
        post([this, promise, query = std::move(query)] { promise->set_value(query(loop_)); });
        if (future.wait_for(answer_limit) != std::future_status::ready) {
            return failed(error_kind::timed_out, "the control thread did not answer within 2 s",
                          "ask again later or ask another node");
        }
        return future.get();
    }

private:
    static constexpr seconds answer_limit{2};

    void work();
    void run_tasks();
    void fetch_if_due();
    void fetch(const peers::fetch_request& request);
    void take_fetched(const peers::fetch_request& request, const config::change_set& changes);
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
