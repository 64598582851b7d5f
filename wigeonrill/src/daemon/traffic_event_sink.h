#ifndef WIGEONRILL_DAEMON_TRAFFIC_EVENT_SINK_H
#define WIGEONRILL_DAEMON_TRAFFIC_EVENT_SINK_H

#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead of this file."
#endif

namespace wigeonrill::daemon {

/// \brief Event that a traffic thread passes to the control thread.
using traffic_event = std::variant<health::answer, dispatch::decision_record, once::crash_mark,
                                   health::observation, health::rate_limit, quota::outgoing_ask>;

/// \brief Writes a log line for each decision and queues events for the control thread.
///
/// Thread-safe. The log sink writes on its own thread, so that requests don't wait for output.
class traffic_event_sink final : public dispatch::event_sink {
public:
    /// \param log must outlive this object
    explicit traffic_event_sink(observe::log_sink& log);

    void on_answer(const health::answer& answer) override;
    void on_decision(const dispatch::decision_record& decision) override;
    void on_crash_mark(const once::crash_mark& mark) override;
    void on_observation(const health::observation& observed) override;
    void on_rate_limit(const health::rate_limit& notice) override;
    void on_credit_ask(const quota::outgoing_ask& ask) override;

    /// \brief Sets the callback that runs on the traffic thread after an event that other nodes
    ///        should learn at once. Must be set before any traffic thread runs.
    void on_urgent_event(std::function<void()> listener) { urgent_listener_ = std::move(listener); }
    /// \brief Removes all queued events.
    /// \returns the events, oldest first
    [[nodiscard]] std::vector<traffic_event> take_all() { return queue_.take_all(); }
    /// \returns the number of events dropped because the control thread was too slow
    [[nodiscard]] std::uint64_t dropped() const { return queue_.dropped(); }

private:
    /// Queues an event and wakes the control thread, which otherwise takes events once per tick.
    void push_urgent(traffic_event event);

    observe::log_sink& log_;
    event_queue<traffic_event> queue_;
    std::function<void()> urgent_listener_;
};

} // namespace wigeonrill::daemon

#endif
