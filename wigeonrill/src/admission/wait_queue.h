#ifndef WIGEONRILL_ADMISSION_WAIT_QUEUE_H
#define WIGEONRILL_ADMISSION_WAIT_QUEUE_H

#ifndef WIGEONRILL_ADMISSION_MODULE
#error "Include wigeonrill/admission.h instead of this file."
#endif

namespace wigeonrill::admission {

/// \brief Bounded queue of requests that wait for a target, ordered by arrival time. Not
///        thread-safe.
///
/// A request that is queued again after a shed keeps its arrival time, so that it precedes requests
/// that arrived later.
class wait_queue {
public:
    /// \param limit maximum number of waiting requests
    explicit wait_queue(std::size_t limit) : limit_(limit) {}

    /// \brief Sets the maximum number of waiting requests. Requests already in the queue stay.
    void set_limit(std::size_t limit) { limit_ = limit; }
    /// \brief Adds a request.
    /// \param request id of the request
    /// \returns false, without adding it, when the queue is full or already contains the request
    [[nodiscard]] bool push(std::uint64_t request, instant arrived, instant deadline);
    /// \brief Removes a request if the queue contains it.
    void remove(std::uint64_t request);
    /// \brief Removes the requests whose deadline has passed.
    /// \returns their ids, oldest arrival first
    [[nodiscard]] std::vector<std::uint64_t> expire(instant now);

    /// \returns ids of the first `count` requests or fewer, oldest arrival first
    [[nodiscard]] std::vector<std::uint64_t> oldest(std::size_t count) const;
    [[nodiscard]] bool full() const { return entries_.size() >= limit_; }
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    using position = std::pair<instant, std::uint64_t>; ///< arrival, then request id
    std::size_t limit_;
    std::map<position, instant> entries_;                 ///< deadline by arrival and id
    std::unordered_map<std::uint64_t, instant> arrivals_; ///< arrival by request id
};

} // namespace wigeonrill::admission

#endif
