#ifndef WIGEONRILL_HEALTH_FAILURE_SHARE_H
#define WIGEONRILL_HEALTH_FAILURE_SHARE_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead."
#endif

namespace wigeonrill::health {

/// \brief Estimates which share of a service's requests fails in the whole fleet. Not thread-safe.
///
/// Nodes tell each other their failures but not their requests, so the number of requests is this
/// node's own, times the number of nodes.
class failure_share {
public:
    /// \brief Counts a request that this node received.
    void on_request(instant now) { requests_.add(now); }
    /// \brief Counts a failure that this node or a peer observed.
    void on_failure(instant now) { failures_.add(now); }
    /// \param nodes number of nodes whose failures are counted, including this one
    /// \returns the estimated share of failed requests; may exceed 1
    [[nodiscard]] double at(instant now, std::size_t nodes) const;

private:
    using seconds_as_double = std::chrono::duration<double>;
    /// Number of events, weighted by their age.
    class fading_count {
    public:
        explicit fading_count(seconds_as_double mean_age) : mean_age_(mean_age) {}
        void add(instant now);
        /// \returns events per second
        [[nodiscard]] double rate(instant now) const;

    private:
        seconds_as_double mean_age_;
        double weight_{0.0};
        instant updated_{};
    };

    // A node gets few requests of one service, so their rate needs a longer time than failures.
    fading_count requests_{seconds_as_double(10.0)};
    fading_count failures_{seconds_as_double(2.0)};
};

} // namespace wigeonrill::health

#endif
