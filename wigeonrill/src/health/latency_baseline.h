#ifndef WIGEONRILL_HEALTH_LATENCY_BASELINE_H
#define WIGEONRILL_HEALTH_LATENCY_BASELINE_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief Running median of the latency of one route over the targets of its service.
///
/// Each answer moves the median by a small step (stochastic approximation in the logarithm); the
/// step grows after a run of answers on the same side. The caller leaves out answers of suspected
/// targets, so that a sick target doesn't become its own reference.
class latency_baseline {
public:
    /// \brief Adds a successful answer.
    /// \param latency time from sending the request to the head of the answer
    /// \param target index of the target in the service
    void add(nanoseconds latency, std::uint32_t target);

    /// \returns whether the median is based on enough answers from at least two targets
    [[nodiscard]] bool is_usable() const;
    /// \brief Ratio of a latency to the mean of an exponential distribution with this median.
    ///
    /// The mean is raised by a margin while it is based on few answers.
    [[nodiscard]] double ratio(nanoseconds latency) const;

private:
    static constexpr std::size_t targets_kept = 32;

    double log_median_{0.0};   ///< logarithm of the median in seconds
    std::uint32_t answers_{0}; ///< answers added so far
    /// Answers in a row above (positive) or below (negative) the median.
    std::int32_t run_length_{0};
    std::array<std::uint32_t, targets_kept> targets_{}; ///< targets of the latest answers, a ring
};

} // namespace wigeonrill::health

#endif
