#ifndef WIGEONRILL_HEALTH_EVIDENCE_POOL_H
#define WIGEONRILL_HEALTH_EVIDENCE_POOL_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief Evidence of all reporters on one target, with the CUSUM statistic over it.
///
/// Held by an aggregator. One reporter's share is limited to half of the threshold while three or
/// more nodes report, so that one wrong or paused node can't eject a target alone.
class evidence_pool {
public:
    /// \brief Adds a report; one that is not newer than the reporter's last is dropped.
    /// \returns whether the report was new
    bool add(const evidence_report& report, const operating_point& point, instant now);

    /// \brief Starts the statistic at 0 and forgets the shares, but not the reporters.
    void reset();
    /// \brief Lowers the statistic to half of the threshold, after a shared cause was found.
    void halve(const operating_point& point);

    /// \returns the CUSUM statistic in nats
    [[nodiscard]] double statistic() const { return statistic_; }
    /// \param fleet_domains number of failure domains with live nodes
    /// \param fleet_nodes number of live nodes
    /// \returns whether the statistic passes the threshold with the reporters it needs
    [[nodiscard]] bool is_sick(const operating_point& point, std::size_t fleet_domains,
                               std::size_t fleet_nodes) const;
    /// \brief Mean over the latest reports of how slow the reporters find the other targets.
    ///
    /// \returns the factor, or 0 when too few told lately
    [[nodiscard]] double others_ratio(instant now) const;
    /// \returns answers in the reports since the last reset
    [[nodiscard]] std::uint64_t answers() const { return answers_; }
    /// \returns the nodes that reported within the last minute or so, sorted
    [[nodiscard]] std::vector<node_id> reporters() const;

private:
    struct share {
        domain_name domain;
        double nats{0.0};
        std::uint64_t epoch{0};
        std::uint64_t sequence{0};
        instant seen{};
    };

    struct remark {
        double ratio{0.0};
        instant at{};
    };
    static constexpr std::size_t remarks_kept = 6;

    void forget_silent(instant now);

    std::unordered_map<node_id, share> shares_;
    double statistic_{0.0};
    std::uint64_t epoch_{0}; ///< shares of an older epoch count as 0
    std::uint64_t answers_{0};
    instant pruned_{};
    std::array<remark, remarks_kept> remarks_{}; ///< latest reports' views of the other targets
    std::size_t remarks_added_{0};
};

} // namespace wigeonrill::health

#endif
