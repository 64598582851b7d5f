#ifndef WIGEONRILL_ROUTING_MODULE
#error "Include wigeonrill/routing.h instead."
#endif

#ifndef WIGEONRILL_ROUTING_LATENCY_MEAN_H
#define WIGEONRILL_ROUTING_LATENCY_MEAN_H

namespace wigeonrill::routing {

/// \brief Exponentially weighted mean of latencies.
class latency_mean {
public:
    /// \brief Adds a latency.
    void add(nanoseconds latency) {
        ++count_;
        const double weight = std::max(1.0 / static_cast<double>(count_), least_weight);
        mean_ += weight * (static_cast<double>(latency.count()) - mean_);
    }
    /// \returns true when enough latencies were added for a judgement
    [[nodiscard]] bool is_usable() const { return count_ >= least_count; }
    [[nodiscard]] nanoseconds mean() const {
        return nanoseconds(static_cast<nanoseconds::rep>(mean_));
    }

private:
    static constexpr double least_weight = 0.1;
    static constexpr std::uint64_t least_count = 5;

    double mean_{0.0}; ///< nanoseconds
    std::uint64_t count_{0};
};

} // namespace wigeonrill::routing

#endif
