#ifndef WIGEONRILL_DISPATCH_DECISION_CORE_H
#define WIGEONRILL_DISPATCH_DECISION_CORE_H

#ifndef WIGEONRILL_DISPATCH_MODULE
#error "Include wigeonrill/dispatch.h instead of this file."
#endif

namespace wigeonrill::dispatch {

/// \brief Event of a decision_core that must be passed to the event sink.
using event = std::variant<health::answer, decision_record, once::crash_mark, health::observation,
                           health::rate_limit, quota::outgoing_ask>;

/// \brief Retry-After of a refusal by a stopping node. The caller's next connection goes to another
///        node.
inline constexpr seconds return_elsewhere{1};

/// \brief Chooses the service of a request in proportion to the weights of its route's split.
/// \param draw random number, uniform in [0, 1)
/// \returns the chosen service, or the route's service when the route has no split
[[nodiscard]] service_name choose_service(const config::route& route, double draw);

/// \brief State machine that decides how each request is handled. Not thread-safe.
///
/// It has no thread, lock or clock of its own: callers pass the current time. After
/// begin_request(), call poll() until it returns a step. A request without a step waits in a queue
/// or for its idempotency key. Poll it again when take_ready() returns its id, and at wake_at() at
/// the latest.
class decision_core {
public:
    /// \param own_address traffic address of this node
    /// \param incarnation number that no other process on this address ever uses
    /// \param started clocks at the start of this process
    /// \param random random numbers for all decisions; must outlive this object
    decision_core(endpoint own_address, std::uint64_t incarnation, clock_reading started,
                  core_options options, random_source& random);

    /// \brief Replaces the eligible targets and routes, and sends waiting requests to new targets.
    /// \param table route table built from the view's snapshot
    /// \param workspaces directory of the view's snapshot; null: one is built
    void set_view(routing::view_ptr view, std::shared_ptr<const routing::route_table> table,
                  instant now,
                  std::shared_ptr<const config::workspace_directory> workspaces = nullptr);
    /// \brief Requests a probe: the service's next repeatable request is sent to an ejected target,
    ///        to learn whether the target has recovered.
    /// \param until time after which the probe is dropped when no such request came
    void request_probe(const service_name& service, const target_id& target, instant until);
    /// \brief Begins a planned stop. From `take_until` on, new and waiting requests are refused;
    ///        before, those that targets probably can't answer before `finish_by`.
    void begin_stop(const planned_stop& times, instant now);
    /// \brief Refuses all waiting requests, and all new ones from now on.
    void stop(instant now);
    /// \brief Refuses waiting requests whose deadline has passed, sends others to free targets, and
    ///        publishes late answers and request counts.
    void tick(instant now);

    /// \brief Starts the handling of a request. Its id must not be in use.
    void begin_request(const traffic::request_info& info, clock_reading at);
    /// \returns the next step of a request, or nothing while it waits
    [[nodiscard]] std::optional<traffic::step> poll(std::uint64_t id, clock_reading at);
    /// \brief Frees the place of a waiting request whose caller has left. Other requests stay.
    void abandon(std::uint64_t id, instant now);
    /// \returns the latest time at which a waiting request should be polled again
    [[nodiscard]] instant wake_at(std::uint64_t id, instant now) const;
    /// \brief Called directly before the first byte of an attempt is written.
    /// \returns true when the request may be written to its target now
    [[nodiscard]] bool may_send(std::uint64_t id, clock_reading at);
    /// \returns true when the attempt at a silent target may be given up, because another target
    ///          can take the request now
    [[nodiscard]] bool may_retry_elsewhere(std::uint64_t id, instant now);
    /// \brief Takes the result of an attempt and decides what follows.
    /// \returns true when the request gets another step from poll(); false when the target's answer
    ///          is to be passed on to the caller
    [[nodiscard]] bool on_attempt_ended(std::uint64_t id, const traffic::attempt_result& attempt,
                                        clock_reading at);
    /// \brief Marks a request whose target went silent and ended its connection later, after the
    ///        attempt had been given up. The request may have been finished before.
    void on_abandoned_connection_lost(const traffic::request_info& info, const target_id& target,
                                      const traffic::silence& silent, clock_reading at);
    /// \brief Ends a request and releases its target.
    /// \param whole true when the caller was sent a complete answer
    /// \param answer answer to store for its idempotency key, or null
    void finish_request(std::uint64_t id, bool whole,
                        std::shared_ptr<const traffic::stored_answer> answer, clock_reading at);

    /// \returns a new idempotency key; only this process may run it
    [[nodiscard]] std::string issue_key(instant now) { return key_admission_.issue(now); }
    /// \brief Records when the platform or a peer confirmed the current configuration.
    void set_config_confirmed_at(wall_time when) { key_admission_.set_config_confirmed_at(when); }
    /// \brief Takes a crash mark from this node or another one. If it blocks its request, the
    ///        waiting copies of the request are refused.
    void add_crash_mark(const once::crash_mark& mark, clock_reading at);

    /// \brief Sets the other nodes that reach targets. While this node reaches none, it passes the
    ///        requests of its callers to them.
    void set_relays(std::vector<health::relay_node> relays) { relays_ = std::move(relays); }
    /// \returns whether this node reaches no target
    [[nodiscard]] bool is_cut_off() const { return reachability_.is_cut_off(); }
    /// \returns the connections that should be tried now; none while targets are reached
    [[nodiscard]] std::vector<connection_check> connection_checks(instant now);
    /// \brief Takes the result of a check.
    void on_connection_check(const connection_check& check, bool connected, instant now) {
        reachability_.on_connection(check.service, check.target, connected, now);
    }
    /// \brief Sets the group of nodes that tell each other their observations and counts.
    void set_group(const routing::group_position& group);
    /// \brief Takes an observation of a target that another node made.
    void on_peer_observation(const health::observation& seen, instant now);
    /// \brief Sets the nodes among which the rate limits of targets are divided.
    /// \param others ids of all other nodes, also of those that don't respond
    void set_nodes(node_id self, const std::vector<node_id>& others, instant now) {
        rate_limits_.set_nodes(std::move(self), others, now);
    }
    /// \brief Sets the nodes that grant credit for the rate limits of workspaces. Without a call,
    ///        this node applies the limits by itself.
    /// \param live nodes that respond, with this one
    /// \param size number of nodes among which the limits are divided
    void set_credit_nodes(node_id self, const std::vector<node_id>& live,
                          const quota::fleet_size& size, instant now) {
        credit_.set_nodes(std::move(self), live, size, now);
    }
    /// \brief Handles granters of credit that don't answer. Call it as often as tick().
    void tick_credit(clock_reading at);
    /// \brief Takes an answer of a granter of credit.
    void on_credit_grant(const node_id& from, const quota::credit_grant& grant, clock_reading at);
    /// \brief Takes a notice of another node about the rate limit of a target.
    /// \returns true when it was news to this node
    bool on_peer_rate_limit(const health::rate_limit& notice, instant now) {
        return rate_limits_.on_notice(notice, now);
    }

    /// \returns the events since the last call
    [[nodiscard]] std::vector<event> take_events() { return std::exchange(events_, {}); }
    /// \returns ids of the waiting requests that got a step since the last call
    [[nodiscard]] std::vector<std::uint64_t> take_ready() { return std::exchange(ready_ids_, {}); }

    /// \returns the requests that were sent to targets and have not been answered yet
    [[nodiscard]] std::vector<outstanding_request> outstanding() const;
    /// \returns the number of requests between begin_request() and finish_request()
    [[nodiscard]] std::size_t active() const { return records_.size(); }
    /// \returns the number of requests in the queues of all services
    [[nodiscard]] std::size_t waiting() const;
    /// \returns the number of keys in the deduplication table
    [[nodiscard]] std::size_t keys() const { return key_admission_.keys(); }
    /// \brief Explains where a request would go now, and why. It is not sent or counted.
    [[nodiscard]] explanation explain(const explained_request& request, instant now) const;

private:
    /// \returns the state of a service, synchronized with the current view; null when the view does
    ///          not contain the service
    service_state* service_of(const service_name& name);
    /// \brief Brings the state of a service up to date with the current view. To be called before a
    ///        request that started with an older view is placed again.
    void sync_service(const service_name& name, service_state& service);
    /// \returns why a request that matches a route is refused whatever its service
    [[nodiscard]] std::optional<refusal_kind> refusal_before_service(const explanation& found,
                                                                     instant now) const;
    /// \brief Fills the explanation of a service, whose name is set.
    void explain_service(service_explanation& shown, const config::route& route, instant now) const;
    /// \returns the state of a request between begin_request() and finish_request()
    request_record& record_of(std::uint64_t id);

    /// \returns false when a planned stop has begun and its time for new work is over
    [[nodiscard]] bool takes_requests(instant now) const {
        return !planned_stop_ || now < planned_stop_->take_until;
    }
    /// \returns true when a request probably ends before the node has stopped, because of its
    ///          target's usual latency or its own deadline
    [[nodiscard]] bool can_finish_before_stop(const request_record& record, instant now);
    /// \returns true when another target is free for a request that its target answered with an
    ///          error, and the request probably ends there before the node has stopped, because of
    ///          the usual latency or its own deadline
    [[nodiscard]] bool can_repeat_error(const request_record& record, instant now);
    /// \returns the time before the end of a planned stop by which answers must have arrived, and
    ///          which targets are told as the deadline; instant::max() without a planned stop
    [[nodiscard]] instant last_answer_at() const;
    /// \brief Refuses a request that comes too late in a planned stop.
    /// \returns false when the request may be placed
    bool refuse_when_stopping(request_record& record, instant now);

    // Stages of begin_request(). Each returns false when it has decided the request's first step or
    // has made it wait for its key.

    /// \brief Finds the route and draws the service.
    bool find_route(request_record& record, instant now);
    /// \brief Finds the workspace of the caller, and refuses callers without a known API key on
    ///        routes that need one. Claims of a sender that can't be checked are refused as well.
    bool authenticate(request_record& record, instant now);
    /// \brief Refuses requests that recently crashed targets.
    bool admit(request_record& record, clock_reading at);
    /// \brief Takes the credit of the request's workspace, or makes the request wait for it.
    bool take_credit(request_record& record, instant now);
    /// \brief Runs the stages after take_credit().
    void continue_request(request_record& record, clock_reading at);
    /// \brief Refuses a request that waits for credit.
    void abandon_credit(request_record& record, refusal_kind kind, instant now);
    /// \brief Adds events with the messages to granters of credit.
    void add_credit_asks(instant now);
    /// \brief Continues or refuses the requests whose credit has been decided.
    void resolve_credit(clock_reading at);
    /// \brief Gives back the credit that a request has, if any.
    void refund_credit(request_record& record, instant now);
    /// \brief Refuses a request whose workspace is over its limit or whose limit isn't known.
    void refuse_credit(request_record& record, const quota::credit_result& result, instant now);
    /// \brief Checks the idempotency key of an at-most-once request.
    bool check_key(request_record& record, clock_reading at);
    /// \brief Finds the state of the drawn service and checks that it has an eligible target.
    bool find_service(request_record& record, clock_reading at);

    /// \brief Assigns a target to a request, or adds the request to the queue, or refuses it.
    void place_or_queue(request_record& record, clock_reading at);
    /// \brief Sends a new repeatable request to a target that is to be probed.
    /// \returns false when the request is not suitable or no probe is pending
    [[nodiscard]] bool try_as_probe(request_record& record, instant now);
    /// \brief Adds a request to the queue, or refuses it when its wait would be too long.
    void enqueue(request_record& record, instant now);
    /// \brief Refuses a new request while the nodes have room only for more urgent ones.
    /// \returns false when the request may be placed
    [[nodiscard]] bool turn_away(request_record& record, instant now);
    /// \brief Tells a service its load level if it needs it.
    static void update_level(service_state& service, instant now);
    /// \returns what decides the place of a request in its service's queue
    [[nodiscard]] static admission::urgency urgency_of(const request_record& record);
    /// \brief Makes sending to the chosen target the next step of a request.
    /// \param waited_since start of the time in the queue; `now` when the request did not wait
    void assign_target(request_record& record, placement placed, instant now, instant waited_since);
    /// \brief Makes a refusal the next step of a request, and ends the key that it holds.
    void refuse(request_record& record, refusal_kind kind, traffic::outcome result, instant now,
                std::optional<milliseconds> retry_after = std::nullopt);
    /// \brief Makes forwarding to the key's owner the next step of a request.
    void forward(request_record& record, std::string reason);
    /// \brief Tells reachability_ how many services and targets the view has.
    void update_reachability_size();
    /// \brief Updates reachability_ from an attempt at a target.
    void observe_connection(const request_record& record, const traffic::attempt_result& attempt,
                            instant now);
    /// \brief Decides about a new request while this node reaches no target.
    /// \returns false when the request must be placed at a target all the same
    [[nodiscard]] bool handle_while_cut_off(request_record& record, instant now);
    /// \brief Makes passing a request that no target has received to another node its next step.
    /// \returns false when that is not possible
    [[nodiscard]] bool try_relay(request_record& record, std::string reason, instant now);
    /// \brief Decides after an attempt at another node: the request is passed to the next one, or
    ///        refused, if there is no answer or if the other node doesn't allow the request.
    /// \returns false when the answer is to be passed on
    [[nodiscard]] bool handle_relay_result(request_record& record,
                                           const traffic::attempt_result& attempt,
                                           clock_reading at);
    /// \brief Makes sending a stored answer the next step of a request.
    void replay(request_record& record, std::shared_ptr<const traffic::stored_answer> answer);
    /// \brief Records the final state of the key that a request holds, and decides about the
    ///        requests that wait for it.
    void finish_key(request_record& record, once::key_state state,
                    std::shared_ptr<const traffic::stored_answer> answer, instant now);
    /// \brief Decides about a request that waited for a key whose final state is now known.
    void resolve_key_waiter(request_record& record, once::key_state state, instant now);
    /// \brief Refuses a request that waits for a key when its deadline has passed.
    void expire_key_waiter(request_record& record, instant now);
    /// \brief Completes a step and its decision record, and stores the step for poll().
    void set_next_step(request_record& record, traffic::step step, decision_record decision);
    /// \brief Refuses expired requests of a queue and assigns free targets to the others.
    void serve_queue(service_state& service, instant now);
    /// \brief Assigns a free target to the first queued request that can use one.
    /// \returns false when none can
    [[nodiscard]] bool serve_next(service_state& service, instant now);
    /// \brief Passes queued requests to other nodes while this node reaches no target, and refuses
    ///        those that can't end before a planned stop.
    void release_queued(service_state& service, instant now);
    /// \brief Refuses the queued requests whose work doesn't fit before their deadlines any more.
    void refuse_hopeless(service_state& service, instant now);
    /// \brief Takes a request out of the queue and refuses it.
    void refuse_queued(service_state& service, std::uint64_t id, refusal_kind kind, instant now,
                       std::optional<milliseconds> retry_after = std::nullopt);
    /// \brief Refuses all queued requests of a service.
    void refuse_all_queued(service_state& service, refusal_kind kind, instant now);
    /// \brief Refuses the queued requests that have a fingerprint.
    void refuse_queued_copies(service_state& service, std::uint64_t fingerprint, instant now);

    /// \brief Derives an observation of the target from the result of an attempt.
    void observe_attempt(request_record& record, const traffic::attempt_result& attempt,
                         instant now);
    /// \brief Records an observation of a request's target, and publishes it to other nodes when it
    ///        tells them something new. A request counts as late only once.
    void add_observation(request_record& record, health::observation_kind kind, instant now);
    /// \brief Publishes to other nodes how many requests this node has in a target.
    /// \param kind observation of the target to publish in the same message
    void
    publish_outstanding_count(const service_name& service, target_record& target, instant now,
                              health::observation_kind kind = health::observation_kind::load_only);
    /// \brief Records a late observation for each request whose answer is overdue.
    void observe_overdue(instant now);
    /// \brief Sends a repeatable request that was answered with an error to another target, if one
    ///        is free and the retry budget allows it.
    /// \returns false when the error answer is to be passed on
    [[nodiscard]] bool retry_server_error(request_record& record,
                                          const traffic::attempt_result& attempt, clock_reading at);
    /// \returns whether an answer has a status that tells callers that the request did not run,
    ///          without a statement that it didn't, and the request must not run again
    [[nodiscard]] static bool has_unproven_status(const request_record& record,
                                                  const traffic::attempt_result& attempt);
    /// \brief Refuses a request in place of passing on such an answer.
    void refuse_unproven_status(request_record& record, const traffic::attempt_result& attempt,
                                instant now);
    /// \brief Releases a request's target after a failed attempt, and lowers the target's limit
    ///        after a shed or a refused connection.
    void release_target(request_record& record, const traffic::attempt_result& attempt,
                        instant now);
    /// \brief Takes over the load, rate limit and draining state of an answer, and adds events with
    ///        the result.
    void report_attempt(const request_record& record, const traffic::attempt_result& attempt,
                        wall_time wall);
    /// \brief Retries, queues or refuses a request after a failed attempt at a target.
    /// \param crashed the target seems to have crashed while it ran the request
    void handle_failure(request_record& record, const traffic::attempt_result& attempt,
                        bool crashed, clock_reading at);
    /// \brief Decides after an attempt at the key's owner: without an answer the request is
    ///        forwarded again or refused.
    /// \returns false when the answer is to be passed on
    [[nodiscard]] bool handle_forward_result(request_record& record,
                                             const traffic::attempt_result& attempt, instant now);
    /// \returns true when a request may be sent again after an attempt, apart from the retry budget
    [[nodiscard]] bool may_retry(const request_record& record,
                                 const traffic::attempt_result& attempt, clock_reading at) const;
    /// \param runs number of targets that may have run the request
    /// \returns true when the route allows another target to run it
    [[nodiscard]] static bool may_run_again(const request_record& record, std::uint32_t runs);
    /// \brief Marks a request under which its target crashed.
    /// \returns whether it did
    bool detect_crash(const request_record& record, const traffic::attempt_result& attempt,
                      clock_reading at);
    /// \brief Takes a mark of this node, and adds an event.
    void mark_crash(const once::crash_mark& mark, clock_reading at);
    /// \brief Marks a request whose connection was lost after its target had been silent, unless
    ///        the target has not crashed or the request has succeeded since.
    /// \returns whether it recorded a crash
    bool mark_silent_crash(std::uint64_t fingerprint, const target_id& target,
                           const traffic::silence& silent, clock_reading at);
    /// \returns the Retry-After value for a refusal by a request's service
    [[nodiscard]] milliseconds retry_after(const request_record& record, instant now);
    /// \returns not_run when it is certain that no target ran the request, otherwise unknown
    [[nodiscard]] traffic::outcome outcome_of(const request_record& record) const;

    /// \returns whether counts of outstanding requests are published
    [[nodiscard]] bool publishes_counts() const {
        return options_.publish_outstanding && group_.nodes > 1;
    }

    core_options options_;
    routing::group_position group_;
    random_source& random_;
    routing::view_ptr view_;
    std::uint64_t generation_{0};                                   ///< number of views set so far
    std::shared_ptr<const routing::route_table> table_;             ///< routes of view_
    std::shared_ptr<const config::workspace_directory> workspaces_; ///< of view_
    bool stopping_{false};                                          ///< stop() was called
    std::optional<planned_stop> planned_stop_; ///< a planned stop that has begun
    routing::rate_limit_table rate_limits_;    ///< of all targets; used by services_
    std::unordered_map<service_name, std::unique_ptr<service_state>> services_;
    std::unordered_map<std::uint64_t, request_record> records_; ///< by request id
    admission::workspace_allowance allowance_; ///< used while credit_ has no granters
    quota::credit_client credit_;
    key_admission key_admission_;
    once::crash_containment containment_;
    health::target_reachability reachability_;
    health::silence_evidence silences_;
    instant next_connection_checks_{instant::min()};
    std::vector<health::relay_node> relays_; ///< other nodes that reach targets
    std::vector<event> events_;              ///< not yet taken by take_events()
    std::vector<std::uint64_t> ready_ids_;   ///< not yet taken by take_ready()
};

} // namespace wigeonrill::dispatch

#endif
