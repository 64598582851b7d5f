#ifndef WIGEONRILL_DAEMON_EVENT_QUEUE_H
#define WIGEONRILL_DAEMON_EVENT_QUEUE_H

#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead of this file."
#endif

namespace wigeonrill::daemon {

/// \brief Bounded queue from other threads to the control thread. Thread-safe.
///
/// When the queue is full, new events are dropped and counted, so that a slow control thread does
/// not delay requests. A dropped event costs evidence about a target, but no request.
template <typename Event>
class event_queue {
public:
    /// \param capacity maximum number of queued events
    explicit event_queue(std::size_t capacity) : capacity_(capacity) {}

    /// \brief Appends an event, or drops it when the queue is full.
    void push(Event event) {
        const std::lock_guard lock(mutex_);
        if (events_.size() >= capacity_) {
            ++dropped_;
            return;
        }
        events_.push_back(std::move(event));
    }

    /// \brief Removes all queued events.
    /// \returns the events, oldest first
    [[nodiscard]] std::vector<Event> take_all() {
        std::vector<Event> taken;
        const std::lock_guard lock(mutex_);
        taken.swap(events_);
        return taken;
    }

    /// \returns the number of events dropped so far
    [[nodiscard]] std::uint64_t dropped() const {
        const std::lock_guard lock(mutex_);
        return dropped_;
    }

private:
    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::vector<Event> events_;
    std::uint64_t dropped_{0};
};

} // namespace wigeonrill::daemon

#endif
