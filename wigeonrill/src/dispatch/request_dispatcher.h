#ifndef WIGEONRILL_DISPATCH_REQUEST_DISPATCHER_H
#define WIGEONRILL_DISPATCH_REQUEST_DISPATCHER_H

#ifndef WIGEONRILL_DISPATCH_MODULE
#error "Include wigeonrill/dispatch.h instead of this file."
#endif

namespace wigeonrill::dispatch {

/// \brief Identity of this process towards callers and other nodes.
struct dispatcher_options {
    endpoint own_address;         ///< traffic address of this node
    std::uint64_t incarnation{0}; ///< differs between all processes of this address
    core_options core;
};

/// \brief Thread-safe shell over decision_core: one mutex, and one condition per waiting request.
class request_dispatcher final : public traffic::dispatcher {
public:
    /// \param options identity of this process
    /// \param clock clock for all decisions
    /// \param random used under this object's lock only; nothing else may use it
    /// \param sink receiver of events; must outlive this object
    request_dispatcher(dispatcher_options options, const clock_source& clock, random_source& random,
                       event_sink& sink);

    /// \brief Takes over eligible targets and routes.
    void set_view(routing::view_ptr view);
    /// \brief Sends the service's next repeatable request to an ejected target, to probe it.
    /// \param wait how long the probe may wait for such a request
    void want_probe(const service_name& service, const target_id& target, milliseconds wait);
    /// \brief Refuses waiting and new requests; requests in targets go on.
    void stop();
    /// \brief Expires and places waiting requests. Called every 50 ms or so.
    void tick();

    /// \returns a new idempotency key that only this process may run
    [[nodiscard]] std::string issue_key();
    /// \brief Records that platform or a peer confirmed the configuration in force. Without a
    ///        confirmation within owner_lease this node runs no keys made by callers.
    void set_confirmed(wall_time when);
    /// \brief Takes what another node saw of a target.
    void observe(const health::observation& seen);
    /// \brief Takes a crash mark that a peer reported.
    void add_crash_mark(const once::crash_mark& mark);

    [[nodiscard]] traffic::step first(const traffic::request_info& request) override;
    [[nodiscard]] bool may_send(const traffic::request_info& request) override;
    [[nodiscard]] bool may_replace(const traffic::request_info& request) override;
    [[nodiscard]] std::optional<traffic::step>
    ended(const traffic::request_info& request, const traffic::attempt_result& attempt) override;
    void finished(const traffic::request_info& request, bool whole,
                  std::shared_ptr<const traffic::stored_answer> answer) override;

    /// \returns requests that were sent and have no answer yet
    [[nodiscard]] std::vector<outstanding_request> outstanding() const;
    /// \returns requests between first() and finished()
    [[nodiscard]] std::size_t active() const;
    /// \returns requests in the queues
    [[nodiscard]] std::size_t waiting() const;
    /// \returns keys in the deduplication table
    [[nodiscard]] std::size_t keys() const;

private:
    [[nodiscard]] traffic::step answer_with_key();
    [[nodiscard]] traffic::step wait_for_step(std::uint64_t id, std::unique_lock<std::mutex>& lock);
    /// Wakes the threads whose requests got a step.
    void wake();
    /// Unlocks, then tells the sink what happened.
    void unlock_and_tell(std::unique_lock<std::mutex>& lock);

    dispatcher_options options_;
    const clock_source& clock_;
    event_sink& sink_;
    mutable std::mutex mutex_;
    decision_core core_;
    std::shared_ptr<const routing::route_table> table_;
    std::unordered_map<std::uint64_t, std::condition_variable*> waiters_;
};

} // namespace wigeonrill::dispatch

#endif
