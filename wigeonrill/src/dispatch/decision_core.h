#ifndef WIGEONRILL_DISPATCH_DECISION_CORE_H
#define WIGEONRILL_DISPATCH_DECISION_CORE_H

#ifndef WIGEONRILL_DISPATCH_MODULE
#error "Include wigeonrill/dispatch.h instead of this file."
#endif

namespace wigeonrill::dispatch {

/// \brief Something to tell the event sink.
using event = std::variant<health::answer, decision_record, once::crash_mark, health::observation>;

/// \brief What a decision_core is made with.
struct core_options {
    /// \brief Makes the placement policy of a service.
    using policy_factory = std::function<std::unique_ptr<routing::placement_policy>()>;

    /// A shed request for which the retry budget has nothing left waits instead of being refused.
    bool shed_may_wait{true};
    /// Other nodes are told how many requests this one has in each target.
    bool tell_counts{false};
    domain_name own_domain; ///< failure domain of this node; empty: unknown
    policy_factory make_policy{[] { return std::make_unique<routing::two_random_choices>(); }};
    admission::request_budget retries{admission::make_retry_budget()}; ///< of each service
};

/// \brief Draws the service of one request in proportion to the weights of its route.
/// \param draw uniform in [0, 1)
[[nodiscard]] service_name choose_service(const config::route& route, double draw);

/// \brief Decisions on requests as a state machine: no thread, lock or clock. Not thread-safe.
///
/// A request is begun, then polled until it has a step. A request without a step waits; it is
/// named by take_ready() when it gets one, and should be polled again at wake_at().
class decision_core {
public:
    /// \param own traffic address of this process
    /// \param incarnation number that no other process of this address ever has
    /// \param started reading of the clocks at the start
    decision_core(endpoint own, std::uint64_t incarnation, moment started, core_options options,
                  random_source& random);

    /// \brief Takes over a view and places waiting requests on new targets.
    /// \param table routes of the view's snapshot
    void set_view(routing::view_ptr view, std::shared_ptr<const routing::route_table> table,
                  instant now);
    /// \brief Asks for one repeatable request to an ejected target within a time.
    void want_probe(const service_name& service, const target_id& target, instant until);
    /// \brief Refuses waiting and new requests from now on.
    void stop(instant now);
    /// \brief Expires and places waiting requests.
    void tick(instant now);

    /// \brief Starts a request. Its id must not be in use.
    void begin(const traffic::request_info& info, moment at);
    /// \returns the decided step, or nothing while the request waits
    [[nodiscard]] std::optional<traffic::step> poll(std::uint64_t id, moment at);
    /// \returns when a waiting request should be polled at the latest
    [[nodiscard]] instant wake_at(std::uint64_t id, instant now) const;
    /// \returns true when the request may be written to its target now
    [[nodiscard]] bool may_send(std::uint64_t id, moment at);
    /// \returns true when another target can get a request whose target is silent
    [[nodiscard]] bool may_replace(std::uint64_t id, instant now);
    /// \brief Takes the result of an attempt.
    /// \returns true when poll() has or will have a next step, false to pass the answer on
    [[nodiscard]] bool ended(std::uint64_t id, const traffic::attempt_result& attempt, moment at);
    /// \brief Ends a request.
    /// \param whole true when the caller was sent a complete answer
    /// \param answer answer to keep for its key, or null
    void finished(std::uint64_t id, bool whole,
                  std::shared_ptr<const traffic::stored_answer> answer, moment at);

    /// \returns a new idempotency key that only this process may run
    [[nodiscard]] std::string issue_key(instant now) { return gate_.issue(now); }
    /// \brief Records that platform or a peer confirmed the configuration in force.
    void set_confirmed(wall_time when) { gate_.set_confirmed(when); }
    /// \brief Takes a crash mark from a peer.
    void add_crash_mark(const once::crash_mark& mark, wall_time now) {
        containment_.add(mark, now);
    }

    /// \brief Takes what another node saw of a target.
    void observe(const health::observation& seen, instant now);

    /// \returns events since the last call
    [[nodiscard]] std::vector<event> take_events() { return std::exchange(events_, {}); }
    /// \returns waiting requests that got a step since the last call
    [[nodiscard]] std::vector<std::uint64_t> take_ready() { return std::exchange(ready_, {}); }

    /// \returns requests that were sent and have no answer yet
    [[nodiscard]] std::vector<outstanding_request> outstanding() const;
    [[nodiscard]] std::size_t active() const { return records_.size(); }
    [[nodiscard]] std::size_t waiting() const;
    /// \returns keys in the deduplication table
    [[nodiscard]] std::size_t keys() const { return gate_.keys(); }

private:
    service_state* service_of(const service_name& name);
    request_record& record_of(std::uint64_t id);

    bool find_route(request_record& record, instant now);
    bool admit(request_record& record, moment at);
    bool pass_key(request_record& record, moment at);
    bool find_service(request_record& record, moment at);
    void seek_place(request_record& record, moment at);
    [[nodiscard]] bool take_probe(request_record& record, instant now);
    void enqueue(request_record& record, instant now);
    void take_place(request_record& record, placement placed, instant now, instant waited_since);
    void refuse(request_record& record, refusal_kind kind, traffic::outcome result, instant now,
                std::optional<seconds> retry_after = std::nullopt);
    void forward(request_record& record, std::string reason);
    void replay(request_record& record, std::shared_ptr<const traffic::stored_answer> answer);
    void end_key(request_record& record, once::key_state state,
                 std::shared_ptr<const traffic::stored_answer> answer, instant now);
    void answer_waiter(request_record& record, once::key_state state, instant now);
    void expire_key_waiter(request_record& record, instant now);
    void decide(request_record& record, traffic::step step, decision_record decision);
    void drain(service_state& service, instant now);
    void expire(service_state& service, instant now);
    void refuse_waiting(service_state& service, refusal_kind kind, instant now);

    /// Adds what an attempt says about its target, and tells it when it is news.
    void observe(request_record& record, const traffic::attempt_result& attempt, instant now);
    void add_observation(request_record& record, health::observation_kind kind, instant now);
    /// Tells other nodes how many requests this node has in a target.
    /// \param kind what an answer said about the target besides
    void tell_outstanding(const service_name& service, target_place& place, instant now,
                          health::observation_kind kind = health::observation_kind::load_only);
    /// Notes the requests whose answers are overdue.
    void observe_late(instant now);
    [[nodiscard]] bool try_another(request_record& record, const traffic::attempt_result& attempt,
                                   moment at);
    void release(request_record& record, const traffic::attempt_result& attempt, instant now);
    void report(const request_record& record, const traffic::attempt_result& attempt);
    void after_failure(request_record& record, const traffic::attempt_result& attempt, moment at);
    void after_forward(request_record& record, const traffic::attempt_result& attempt, instant now);
    [[nodiscard]] bool may_retry(const request_record& record,
                                 const traffic::attempt_result& attempt, moment at) const;
    /// \returns true when the route allows that one more target runs the request
    /// \param runs number of targets that may have run it
    [[nodiscard]] static bool may_run_again(const request_record& record, std::uint32_t runs);
    void mark_crash(const request_record& record, const target_id& target, wall_time wall);
    [[nodiscard]] std::optional<seconds> retry_after(const request_record& record);
    [[nodiscard]] traffic::outcome outcome_of(const request_record& record) const;

    core_options options_;
    random_source& random_;
    routing::view_ptr view_;
    std::uint64_t generation_{0}; ///< counts the views
    std::shared_ptr<const routing::route_table> table_;
    bool stopping_{false};
    std::unordered_map<service_name, std::unique_ptr<service_state>> services_;
    std::unordered_map<std::uint64_t, request_record> records_;
    admission::workspace_allowance allowance_;
    key_gate gate_;
    once::crash_containment containment_;
    std::vector<event> events_;
    std::vector<std::uint64_t> ready_;
};

} // namespace wigeonrill::dispatch

#endif
