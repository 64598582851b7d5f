#ifndef WIGEONRILL_DISPATCH_EVENT_SINK_H
#define WIGEONRILL_DISPATCH_EVENT_SINK_H

#ifndef WIGEONRILL_DISPATCH_MODULE
#error "Include wigeonrill/dispatch.h instead of this file."
#endif

namespace wigeonrill::dispatch {

/// \brief Receiver of what the decisions learn. Called by traffic threads without a lock held.
///
/// Implementations are thread-safe and return quickly, because the request waits for them.
class event_sink {
public:
    event_sink() = default;
    event_sink(const event_sink&) = delete;
    event_sink& operator=(const event_sink&) = delete;
    virtual ~event_sink() = default;

    /// \brief An attempt at a target ended.
    virtual void on_answer(const health::answer& answer) = 0;
    /// \brief A decision was taken; one log line each.
    virtual void on_decision(const decision_record& decision) = 0;
    /// \brief This node saw a target die with a request in flight; to be gossiped.
    virtual void on_crash_mark(const once::crash_mark& mark) = 0;
    /// \brief An answer that says something new about a target; other nodes should hear it at once.
    virtual void on_observation(const health::observation& seen) = 0;
};

} // namespace wigeonrill::dispatch

#endif
