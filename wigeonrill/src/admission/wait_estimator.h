#ifndef WIGEONRILL_ADMISSION_WAIT_ESTIMATOR_H
#define WIGEONRILL_ADMISSION_WAIT_ESTIMATOR_H

#ifndef WIGEONRILL_ADMISSION_MODULE
#error "Include wigeonrill/admission.h instead of this file."
#endif

namespace wigeonrill::admission {

/// \brief Estimates how long a request would wait in the queue. Not thread-safe.
///
/// The estimate is the queue length times the mean interval between grants to waiting requests. A
/// request that can't be served before its deadline is refused at once, so that it doesn't hold a
/// queue position that another request could use.
class wait_estimator {
public:
    /// \brief Records that a waiting request got a place.
    /// \param others_wait true when the queue is not empty after it; else the next interval says
    ///        how seldom requests come and not how fast places become free
    void on_grant(instant now, bool others_wait);
    /// \brief Forgets the estimate, because nothing waits any more. A kept estimate would refuse
    ///        every request after a long stall, and without waiting requests it never changes.
    void on_empty() {
        last_.reset();
        interval_ = 0.0;
    }

    /// \param ahead requests that wait already
    /// \returns the estimated wait, 0 before the first interval was measured
    [[nodiscard]] nanoseconds wait(std::size_t ahead) const;
    /// \brief Value for Retry-After: the estimated wait in whole seconds, from 1 to 30, and up to
    ///        as much again at random, so that refused callers don't come back together.
    /// \param jitter in [0, 1)
    [[nodiscard]] seconds retry_after(std::size_t ahead, double jitter) const;

private:
    std::optional<instant> last_;
    double interval_{0.0}; ///< exponentially weighted mean, seconds
};

} // namespace wigeonrill::admission

#endif
