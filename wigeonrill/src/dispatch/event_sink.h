#ifndef WIGEONRILL_DISPATCH_EVENT_SINK_H
#define WIGEONRILL_DISPATCH_EVENT_SINK_H

#ifndef WIGEONRILL_DISPATCH_MODULE
#error "Include wigeonrill/dispatch.h instead of this file."
#endif

namespace wigeonrill::dispatch {

/// \brief Receives the events that request_dispatcher produces.
///
/// The functions are called by traffic threads, with no lock held. Implementations must be
/// thread-safe and return quickly, because the request is delayed until they return.
class event_sink {
public:
    event_sink() = default;
    event_sink(const event_sink&) = delete;
    event_sink& operator=(const event_sink&) = delete;
    virtual ~event_sink() = default;

    /// \brief Called when an attempt at a target has ended.
    virtual void on_answer(const health::answer& answer) = 0;
    /// \brief Called for each decision; each one is written as one log line.
    virtual void on_decision(const decision_record& decision) = 0;
    /// \brief Called when a target of this node crashed with a request in flight. The mark should
    ///        be gossiped to the other nodes.
    virtual void on_crash_mark(const once::crash_mark& mark) = 0;
    /// \brief Called when an answer, or the lack of one, changes what is known about a target. The
    ///        observation should be sent to the other nodes at once.
    virtual void on_observation(const health::observation& seen) = 0;
    /// \brief Called when an answer changes or renews what is known about the rate limit of a
    ///        target. The notice should be sent to the other nodes at once.
    virtual void on_rate_limit(const health::rate_limit& notice) = 0;
    /// \brief Called when a granter of credit should be asked, which may be this node.
    virtual void on_credit_ask(const quota::outgoing_ask& ask) = 0;
};

} // namespace wigeonrill::dispatch

#endif
