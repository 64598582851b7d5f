#ifndef WIGEONRILL_HEALTH_SHARED_CONDITION_H
#define WIGEONRILL_HEALTH_SHARED_CONDITION_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief What many targets show at once: a shared slowdown, or a bad link of this node.
///
/// It is asked about one target and looks at the others only, so a sick target neither hides itself
/// nor another one.
class shared_condition {
public:
    /// \brief Adds an answer.
    void add(std::uint32_t target, double ratio, instant now);
    /// \brief Adds a failed attempt.
    void add_failure(std::uint32_t target, instant now);
    /// \brief Forgets the outstanding requests, before the current ones are added.
    void clear_outstanding() { outstanding_.clear(); }
    /// \brief Adds a request that has no answer yet.
    void add_outstanding(std::uint32_t target, double ratio);

    /// \returns factor, at least 1, by which the other targets are slower than their baselines
    [[nodiscard]] double slowdown(std::uint32_t except, instant now) const;
    /// \brief Mean of the last two ratios of the other targets: newer and noisier than slowdown().
    ///
    /// Requests without an answer are left out: those of a lost domain would look like a shared
    /// slowdown.
    ///
    /// \returns the factor, or 0 when too little is known
    [[nodiscard]] double latest(std::uint32_t except, instant now) const;
    /// \returns whether most of the other targets failed their last attempt
    [[nodiscard]] bool most_fail(std::uint32_t except, instant now) const;

private:
    struct sample {
        std::uint32_t target{0};
        double ratio{0.0};
        bool failed{false};
        instant at{};
    };
    static constexpr std::size_t memory = 24;

    void push(const sample& latest);
    /// \returns the sample that is age places before the newest
    [[nodiscard]] const sample& recent(std::size_t age) const;

    std::array<sample, memory> samples_{};
    std::size_t added_{0};
    std::vector<std::pair<std::uint32_t, double>> outstanding_; ///< target and highest ratio
};

} // namespace wigeonrill::health

#endif
