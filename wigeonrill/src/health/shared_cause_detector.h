#ifndef WIGEONRILL_HEALTH_SHARED_CAUSE_DETECTOR_H
#define WIGEONRILL_HEALTH_SHARED_CAUSE_DETECTOR_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief Detects that many targets are slow or failing at the same time.
///
/// The cause is then shared, for example an overloaded dependency or a broken link of this node,
/// and no target may be ejected for it. Each query names the target that is tested and evaluates
/// the other targets only, so that a sick target can't be taken for a shared cause.
class shared_cause_detector {
public:
    /// \brief Adds a complete answer.
    /// \param target number of the target
    /// \param ratio latency divided by the baseline of its route
    void add(std::uint32_t target, double ratio, instant now);
    /// \brief Adds a failed attempt.
    void add_failure(std::uint32_t target, instant now);
    /// \brief Removes all outstanding requests. Called at each tick before the current ones are
    /// added.
    void clear_outstanding() { outstanding_.clear(); }
    /// \brief Adds a request that has no answer yet.
    /// \param ratio age of the request divided by the baseline of its route
    void add_outstanding(std::uint32_t target, double ratio);

    /// \returns factor by which the other targets are slower than their baselines, at least 1
    [[nodiscard]] double slowdown(std::uint32_t except, instant now) const;
    /// \brief Mean of the last two latency ratios of the other targets. It reacts faster than
    /// slowdown() but is noisier.
    ///
    /// Requests without an answer are left out, because those of a lost failure domain would look
    /// like a shared slowdown.
    ///
    /// \returns the factor, or 0 when there are too few recent answers
    [[nodiscard]] double latest_ratio(std::uint32_t except, instant now) const;
    /// \returns whether the last attempts at most of the other targets failed
    [[nodiscard]] bool most_others_fail(std::uint32_t except, instant now) const;

private:
    struct sample {
        std::uint32_t target{0};
        double ratio{0.0};
        bool failed{false};
        instant at{};
    };
    static constexpr std::size_t samples_kept = 24;

    void push(const sample& latest);
    /// \param age number of newer samples
    /// \returns a sample of the ring
    [[nodiscard]] const sample& recent(std::size_t age) const;

    std::array<sample, samples_kept> samples_{};
    std::size_t added_{0};
    std::vector<std::pair<std::uint32_t, double>> outstanding_; ///< highest ratio per target
};

} // namespace wigeonrill::health

#endif
