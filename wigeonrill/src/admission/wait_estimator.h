#ifndef WIGEONRILL_ADMISSION_WAIT_ESTIMATOR_H
#define WIGEONRILL_ADMISSION_WAIT_ESTIMATOR_H

#ifndef WIGEONRILL_ADMISSION_MODULE
#error "Include wigeonrill/admission.h instead of this file."
#endif

namespace wigeonrill::admission {

/// \brief Estimates how long a request would wait in the queue. Not thread-safe.
///
/// The estimate is the queue position times the mean interval between requests that leave the queue
/// for a target. With it, a request that can't be served before its deadline is refused at once and
/// does not occupy the queue.
class wait_estimator {
public:
    /// \brief Records that a waiting request got a target.
    /// \param others_wait true when the queue is still not empty; otherwise the next interval is
    ///        not measured, because it depends on arrivals and not on the speed of the targets
    void on_dequeue(instant now, bool others_wait);
    /// \brief Resets the estimate when the queue is empty. Otherwise a high estimate after a long
    ///        stall would refuse every request, and it would never change without waiting requests.
    void on_queue_empty() {
        last_dequeue_.reset();
        mean_interval_s_ = 0.0;
        count_ = 0;
    }

    /// \param ahead number of requests that are already waiting
    /// \returns the estimated wait, at most 1 h; 0 before the first interval is measured
    [[nodiscard]] nanoseconds estimated_wait(std::size_t ahead) const;
    /// \returns true when enough intervals were measured to refuse a request because of its wait
    [[nodiscard]] bool is_measured() const { return count_ >= min_count; }

private:
    static constexpr std::uint64_t min_count = 3; ///< for is_measured()

    std::optional<instant> last_dequeue_; ///< start of the current interval; nothing: none runs
    double mean_interval_s_{0.0};         ///< exponentially weighted mean; 0: not measured
    std::uint64_t count_{0};              ///< measured intervals
};

} // namespace wigeonrill::admission

#endif
