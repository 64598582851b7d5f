#ifndef WIGEONRILL_ADMISSION_WAIT_QUEUE_H
#define WIGEONRILL_ADMISSION_WAIT_QUEUE_H

#ifndef WIGEONRILL_ADMISSION_MODULE
#error "Include wigeonrill/admission.h instead of this file."
#endif

namespace wigeonrill::admission {

/// \brief Bounded queue of requests that wait for a target, ordered by urgency. Not thread-safe.
///
/// Load pattern: requests of several kinds compete for too little room. In order of arrival, those
/// that can't be answered in time any more delay those that can, and urgent ones wait behind
/// others.
///
/// Order: by priority; within it, requests that can still be answered within their target latency
/// precede the others; within these, those with the least time left to be sent come first. Earliest
/// deadline first alone does worst when there is too little room for all, because it prefers the
/// requests that are about to fail (Liu and Layland 1973, Locke 1986).
class wait_queue {
public:
    /// \param limit maximum number of waiting requests
    explicit wait_queue(std::size_t limit) : limit_(limit) {}

    /// \brief Sets the maximum number of waiting requests. Requests already in the queue stay.
    void set_limit(std::size_t limit) { limit_ = limit; }
    /// \brief Adds a request.
    /// \param request id of the request
    /// \returns false, without adding it, when the queue is full or already contains the request
    [[nodiscard]] bool push(std::uint64_t request, const urgency& how);
    /// \brief Removes a request if the queue contains it.
    void remove(std::uint64_t request);
    /// \brief Removes the requests that are hopeless: their work doesn't fit before their deadlines
    ///        any more. Without a measurement of the work, this is so at the deadline.
    /// \returns their ids in order of arrival
    [[nodiscard]] std::vector<std::uint64_t> remove_hopeless(instant now);

    /// \returns ids of all requests in order
    [[nodiscard]] std::vector<std::uint64_t> in_order(instant now);
    /// \returns the priorities of the waiting requests, the most urgent one first
    [[nodiscard]] std::vector<std::uint32_t> priorities() const;
    /// \returns the first request of a priority; nothing when none waits
    [[nodiscard]] std::optional<std::uint64_t> first_of(std::uint32_t priority, instant now);
    /// \returns the last request in order, which costs least to refuse, if its priority is less
    ///          urgent than the given one
    [[nodiscard]] std::optional<std::uint64_t> last_below(std::uint32_t priority, instant now);
    /// \returns the number of waiting requests that precede a new one
    [[nodiscard]] std::size_t ahead_of(const urgency& how, instant now);
    /// \returns the same, of its own priority only
    [[nodiscard]] std::size_t ahead_in_priority(const urgency& how, instant now);
    /// \returns the number of waiting requests of a priority and of more urgent ones
    [[nodiscard]] std::size_t size_up_to(std::uint32_t priority) const;
    /// \returns the requests that can't be answered within their target latency any more, in order
    [[nodiscard]] std::vector<std::uint64_t> late_ones(instant now);
    /// \returns what decides the place of a waiting request
    [[nodiscard]] const urgency& urgency_of(std::uint64_t request) const {
        return entries_.at(request);
    }
    [[nodiscard]] bool full() const { return entries_.size() >= limit_; }
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    using position = std::tuple<instant, instant, std::uint64_t>; ///< time, arrival, request id
    struct lane {
        std::set<position> timely; ///< by urgency::timely_until()
        std::set<position> late;   ///< by urgency::useful_until()
        [[nodiscard]] std::size_t size() const { return timely.size() + late.size(); }
    };
    [[nodiscard]] static position timely_position(std::uint64_t request, const urgency& how) {
        return {how.timely_until(), how.arrived, request};
    }
    [[nodiscard]] static position late_position(std::uint64_t request, const urgency& how) {
        return {how.useful_until(), how.arrived, request};
    }
    /// \brief Moves the requests that can't be answered within their target latency any more.
    void update(lane& one, instant now);

    std::size_t limit_;
    std::map<std::uint32_t, lane> lanes_;                ///< by priority; never empty
    std::unordered_map<std::uint64_t, urgency> entries_; ///< by request id
};

} // namespace wigeonrill::admission

#endif
