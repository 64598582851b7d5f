#ifndef WIGEONRILL_ROUTING_MODULE
#error "Include wigeonrill/routing.h instead."
#endif

#ifndef WIGEONRILL_ROUTING_LATENCY_MEAN_H
#define WIGEONRILL_ROUTING_LATENCY_MEAN_H

namespace wigeonrill::routing {

/// \brief Exponentially weighted mean of latencies, their mean deviation, and their recent maximum.
/// The first ones have
///        equal weights in the mean.
class latency_mean {
public:
    /// \brief Adds a latency to the mean.
    void add(nanoseconds latency) {
        ++count_;
        const double weight = std::max(1.0 / static_cast<double>(count_), min_weight);
        const double error = static_cast<double>(latency.count()) - mean_;
        deviation_ += weight * ((count_ == 1 ? 0.0 : std::abs(error)) - deviation_);
        mean_ += weight * error;
        longest_ = std::max(static_cast<double>(latency.count()), longest_ * fading);
    }
    /// \returns true when enough latencies were added for a meaningful mean
    [[nodiscard]] bool has_enough_samples() const { return count_ >= min_count; }
    /// \returns the mean; 0 before the first latency
    [[nodiscard]] nanoseconds mean() const {
        return nanoseconds(static_cast<nanoseconds::rep>(mean_));
    }
    /// \returns the mean absolute deviation, computed as in RFC 6298 with the weights of the mean
    [[nodiscard]] nanoseconds spread() const {
        return nanoseconds(static_cast<nanoseconds::rep>(deviation_));
    }

    /// \returns the longest latency, which fades with each later one; 0 before the first latency
    [[nodiscard]] nanoseconds longest() const {
        return nanoseconds(static_cast<nanoseconds::rep>(longest_));
    }

private:
    /// Share of the longest latency that remains after another one: half of it after 70.
    static constexpr double fading = 0.99;
    static constexpr double min_weight = 0.1; ///< weight of the newest latency after the first 10
    static constexpr std::uint64_t min_count = 5; ///< for has_enough_samples()

    double mean_{0.0};       ///< nanoseconds
    double deviation_{0.0};  ///< nanoseconds
    double longest_{0.0};    ///< nanoseconds
    std::uint64_t count_{0}; ///< latencies added
};

} // namespace wigeonrill::routing

#endif
