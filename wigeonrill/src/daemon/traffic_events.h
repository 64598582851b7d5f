#ifndef WIGEONRILL_DAEMON_TRAFFIC_EVENTS_H
#define WIGEONRILL_DAEMON_TRAFFIC_EVENTS_H

#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead of this file."
#endif

namespace wigeonrill::daemon {

/// \brief What traffic threads tell the control thread.
using traffic_event =
    std::variant<health::answer, dispatch::decision_record, once::crash_mark, health::observation>;

/// \brief Writes a log line for each decision and queues the events for the control thread.
///
/// The log sink writes on a thread of its own, so a request doesn't wait for output.
class traffic_events final : public dispatch::event_sink {
public:
    /// \param log must outlive this object
    explicit traffic_events(observe::log_sink& log);

    void on_answer(const health::answer& answer) override;
    void on_decision(const dispatch::decision_record& decision) override;
    void on_crash_mark(const once::crash_mark& mark) override;
    void on_observation(const health::observation& seen) override;

    /// \brief Sets what to call after an event that other nodes should hear at once. Called before
    ///        any traffic thread runs.
    void on_urgent(std::function<void()> listener) { urgent_ = std::move(listener); }
    /// \brief Takes the events since the last call, oldest first.
    [[nodiscard]] std::vector<traffic_event> take_all() { return queue_.take_all(); }
    /// \returns the number of events lost because the control thread was too slow
    [[nodiscard]] std::uint64_t dropped() const { return queue_.dropped(); }

private:
    /// Queues an event and wakes the control thread, which otherwise takes events once a tick.
    void tell_at_once(traffic_event event);

    observe::log_sink& log_;
    event_queue<traffic_event> queue_;
    std::function<void()> urgent_;
};

} // namespace wigeonrill::daemon

#endif
