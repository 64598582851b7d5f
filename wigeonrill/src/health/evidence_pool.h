#ifndef WIGEONRILL_HEALTH_EVIDENCE_POOL_H
#define WIGEONRILL_HEALTH_EVIDENCE_POOL_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief Combines the evidence that all nodes report on one target into a CUSUM statistic.
///
/// Each aggregator of a target holds one. While three or more nodes report, the contribution of a
/// single node is limited to half of the threshold, so that one faulty or paused node can't get a
/// target ejected alone.
class evidence_pool {
public:
    /// \brief Adds a report, unless it is a duplicate or older than the reporter's last one.
    /// \returns whether the report was added
    bool add(const evidence_report& report, const operating_point& point, instant now);

    /// \brief Resets the statistic and all contributions to 0, and keeps the list of reporters.
    void reset();
    /// \brief Limits the statistic to half of the threshold, after a shared cause was found.
    void halve(const operating_point& point);

    /// \returns the CUSUM statistic, in nats
    [[nodiscard]] double statistic() const { return statistic_; }
    /// \param live_domains number of failure domains with live nodes
    /// \param live_nodes number of live nodes
    /// \returns whether the statistic reaches the threshold and, where the operating point requires
    ///          it, nodes of two failure domains contributed to it
    [[nodiscard]] bool is_sick(const operating_point& point, std::size_t live_domains,
                               std::size_t live_nodes) const;
    /// \brief Averages the slowdown of the service's other targets over the latest reports.
    ///
    /// \returns the factor (1 is normal), or 0 when too few recent reports contain it
    [[nodiscard]] double others_ratio(instant now) const;
    /// \returns number of answers in the reports added since the last reset
    [[nodiscard]] std::uint64_t answers() const { return answers_; }
    /// \returns the nodes that reported within the last one to two minutes, sorted
    [[nodiscard]] std::vector<node_id> reporters() const;

private:
    /// Evidence of one reporter.
    struct contribution {
        domain_name domain;
        double nats{0.0};          ///< sum of its evidence within the epoch
        std::uint64_t epoch{0};    ///< epoch of the pool that the sum belongs to
        std::uint64_t sequence{0}; ///< sequence number of the latest report
        instant seen{};            ///< when the latest report arrived
    };

    /// Slowdown of the other targets in one report.
    struct others_sample {
        double ratio{0.0};
        instant at{};
    };
    static constexpr std::size_t others_samples_kept = 6;

    void drop_silent_reporters(instant now);

    std::unordered_map<node_id, contribution> contributions_;
    double statistic_{0.0};
    std::uint64_t epoch_{0}; ///< grows when the statistic returns to 0 or is reset;
                             ///< contributions of an older epoch count as 0
    std::uint64_t answers_{0};
    instant last_pruned_{};
    std::array<others_sample, others_samples_kept> others_samples_{}; ///< ring buffer
    std::size_t others_samples_added_{0};
};

} // namespace wigeonrill::health

#endif
