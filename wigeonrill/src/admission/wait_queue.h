#ifndef WIGEONRILL_ADMISSION_WAIT_QUEUE_H
#define WIGEONRILL_ADMISSION_WAIT_QUEUE_H

#ifndef WIGEONRILL_ADMISSION_MODULE
#error "Include wigeonrill/admission.h instead of this file."
#endif

namespace wigeonrill::admission {

/// \brief Bounded queue of requests that wait for a place, oldest arrival first. Not thread-safe.
///
/// A request that comes back after a shed keeps its arrival time, so it goes before later ones.
class wait_queue {
public:
    /// \param limit most requests that may wait
    explicit wait_queue(std::size_t limit) : limit_(limit) {}

    /// \brief Adjusts the bound; requests that already wait stay.
    void set_limit(std::size_t limit) { limit_ = limit; }
    /// \brief Adds a request.
    /// \returns false when the queue is full or the request already waits; it is refused then
    [[nodiscard]] bool push(std::uint64_t request, instant arrived, instant deadline);
    /// \brief Removes a request, if it waits.
    void remove(std::uint64_t request);
    /// \brief Removes the requests whose deadline has come.
    /// \returns their identifiers, oldest first
    [[nodiscard]] std::vector<std::uint64_t> expire(instant now);

    /// \returns up to a number of requests that wait longest, oldest first
    [[nodiscard]] std::vector<std::uint64_t> oldest(std::size_t count) const;
    [[nodiscard]] bool full() const { return entries_.size() >= limit_; }
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    using position = std::pair<instant, std::uint64_t>; ///< arrival, then identifier
    std::size_t limit_;
    std::map<position, instant> entries_; ///< to the deadline
    std::unordered_map<std::uint64_t, instant> arrivals_;
};

} // namespace wigeonrill::admission

#endif
