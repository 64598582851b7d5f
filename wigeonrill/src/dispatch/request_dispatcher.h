#ifndef WIGEONRILL_DISPATCH_REQUEST_DISPATCHER_H
#define WIGEONRILL_DISPATCH_REQUEST_DISPATCHER_H

#ifndef WIGEONRILL_DISPATCH_MODULE
#error "Include wigeonrill/dispatch.h instead of this file."
#endif

namespace wigeonrill::dispatch {

/// \brief Options of a request_dispatcher.
struct dispatcher_options {
    endpoint own_address;         ///< traffic address of this node
    std::uint64_t incarnation{0}; ///< differs between all processes on this address
    core_options core;            ///< options of the decision logic
};

/// \brief Thread-safe wrapper of decision_core with one mutex.
///
/// A thread whose request must wait blocks on a condition variable of its own. Events are passed to
/// the sink after the mutex is unlocked.
class request_dispatcher final : public traffic::dispatcher {
public:
    /// \param options identity of this process and options of the decisions
    /// \param clock clock for all decisions; must outlive this object
    /// \param random random numbers for all decisions; must outlive this object and be used by
    ///        nothing else, because only this object's mutex protects it
    /// \param sink receiver of events; must outlive this object
    request_dispatcher(dispatcher_options options, const clock_source& clock, random_source& random,
                       event_sink& sink);

    /// \brief Replaces the eligible targets and routes.
    void set_view(routing::view_ptr view);
    /// \brief Requests a probe: the service's next repeatable request is sent to an ejected target,
    ///        to learn whether the target has recovered.
    /// \param wait time after which the probe is dropped when no such request came
    void request_probe(const service_name& service, const target_id& target, milliseconds wait);
    /// \brief Begins a planned stop, see decision_core::begin_stop().
    /// \param take_for time in which new requests are taken
    /// \param time_left time until the requests that were taken must have ended
    void begin_stop(milliseconds take_for, milliseconds time_left);
    /// \brief Refuses waiting and new requests. Requests that targets are running continue.
    void stop();
    /// \brief Refuses waiting requests whose deadline has passed, sends others to free targets, and
    ///        publishes late answers and request counts. Call it about every 50 ms.
    void tick();

    /// \returns a new idempotency key; only this process may run it
    [[nodiscard]] std::string issue_key();
    /// \brief Records when the platform or a peer confirmed the current configuration. Without a
    ///        confirmation within owner_lease this node refuses keys created by callers.
    void set_config_confirmed_at(wall_time when);
    /// \brief Sets the other nodes that reach targets. While this node reaches none, it passes the
    ///        requests of its callers to them.
    void set_relays(std::vector<health::relay_node> relays);
    /// \returns whether this node reaches no target
    [[nodiscard]] bool is_cut_off() const;
    /// \returns the connections that should be tried now; none while targets are reached
    [[nodiscard]] std::vector<connection_check> connection_checks();
    /// \brief Takes the result of a check.
    void on_connection_check(const connection_check& check, bool connected);
    /// \brief Sets the group of nodes that tell each other their observations and counts.
    void set_group(const routing::group_position& group);
    /// \brief Takes an observation of a target that another node made.
    void on_peer_observation(const health::observation& seen);
    /// \brief Sets the nodes among which the rate limits of targets are divided.
    /// \param others ids of all other nodes, also of those that don't respond
    void set_nodes(node_id self, const std::vector<node_id>& others);
    /// \brief Takes a notice of another node about the rate limit of a target.
    /// \returns true when it was news to this node
    bool on_peer_rate_limit(const health::rate_limit& notice);
    /// \brief Sets the nodes that grant credit, see decision_core::set_credit_nodes().
    void set_credit_nodes(node_id self, const std::vector<node_id>& live,
                          const quota::fleet_size& size);
    /// \brief Takes an answer of a granter of credit.
    void on_credit_grant(const node_id& from, const quota::credit_grant& grant);
    /// \brief Takes a crash mark from another node.
    void add_crash_mark(const once::crash_mark& mark);

    [[nodiscard]] traffic::step first_step(const traffic::request_info& request) override;
    [[nodiscard]] bool may_send(const traffic::request_info& request) override;
    [[nodiscard]] bool may_retry_elsewhere(const traffic::request_info& request) override;
    [[nodiscard]] std::optional<traffic::step>
    on_attempt_ended(const traffic::request_info& request,
                     const traffic::attempt_result& attempt) override;
    void on_abandoned_connection_lost(const traffic::request_info& request, const target_id& target,
                                      const traffic::silence& silent) override;
    void finish_request(const traffic::request_info& request, bool whole,
                        std::shared_ptr<const traffic::stored_answer> answer) override;

    /// \returns the requests that were sent to targets and have not been answered yet
    [[nodiscard]] std::vector<outstanding_request> outstanding() const;
    /// \returns the number of requests between first_step() and finish_request()
    [[nodiscard]] std::size_t active() const;
    /// \returns the number of requests in the queues of all services
    [[nodiscard]] std::size_t waiting() const;
    /// \returns the number of keys in the deduplication table
    [[nodiscard]] std::size_t keys() const;
    /// \brief Explains where a request would go now, and why. It is not sent or counted.
    [[nodiscard]] explanation explain(const explained_request& request) const;

private:
    /// \returns a step that answers with a newly issued idempotency key
    [[nodiscard]] traffic::step make_key_answer();
    /// \brief Blocks until a request has a step, and unlocks.
    /// \param lock held lock on mutex_
    [[nodiscard]] traffic::step wait_for_step(const traffic::request_info& request,
                                              std::unique_lock<std::mutex>& lock);
    /// \brief Wakes the threads whose waiting requests now have a step. Needs the lock.
    void notify_waiters();
    /// \brief Passes the collected events to the sink without the lock, and locks again.
    /// \returns false, without unlocking, if there are none
    [[nodiscard]] bool pass_events_to_sink(std::unique_lock<std::mutex>& lock);
    /// \brief Passes events to the sink. To be called without the lock.
    void pass_to_sink(const std::vector<event>& events);
    /// \brief Wakes waiting threads, unlocks, and passes the collected events to the sink.
    void unlock_and_notify_sink(std::unique_lock<std::mutex>& lock);

    dispatcher_options options_;
    const clock_source& clock_;
    event_sink& sink_;
    mutable std::mutex mutex_;
    decision_core core_;
    std::shared_ptr<const routing::route_table> table_;             ///< routes of the current view
    std::shared_ptr<const config::workspace_directory> workspaces_; ///< of the current view
    std::unordered_map<std::uint64_t, std::condition_variable*> waiters_; ///< by request id
};

} // namespace wigeonrill::dispatch

#endif
