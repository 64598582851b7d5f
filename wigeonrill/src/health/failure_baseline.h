#ifndef WIGEONRILL_HEALTH_FAILURE_BASELINE_H
#define WIGEONRILL_HEALTH_FAILURE_BASELINE_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief Estimates the usual share of failed attempts on one route.
///
/// The estimate for a target leaves out its own attempts. Otherwise, on a route with little
/// traffic, a target that fails every request would raise the usual share as fast as the evidence
/// against itself and would never be ejected.
class failure_baseline {
public:
    /// \brief Adds a finished attempt.
    /// \param target index of the target in the service
    void add(std::uint32_t target, bool failed);
    /// \param except index of the target that is tested
    /// \returns share of failures among the latest attempts at all other targets
    [[nodiscard]] double usual_rate(std::uint32_t except) const;

private:
    struct outcome {
        std::uint32_t target{0};
        bool failed{false};
    };

    std::vector<outcome> latest_; ///< ring buffer; grows up to its capacity
    std::size_t next_{0};
};

} // namespace wigeonrill::health

#endif
