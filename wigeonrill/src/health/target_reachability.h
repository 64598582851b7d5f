#ifndef WIGEONRILL_HEALTH_TARGET_REACHABILITY_H
#define WIGEONRILL_HEALTH_TARGET_REACHABILITY_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief Decides from connections to targets whether this node is cut off from all of them.
///        Not thread-safe.
///
/// A target that refuses connections may be down. If connections to many targets of several
/// services fail and none succeeds, the fault lies with this node or its links. Only new
/// connections count: kept ones may live on while new ones are refused.
class target_reachability {
public:
    /// \brief Sets the number of services with targets, and of their targets.
    void set_size(std::size_t services, std::size_t targets);
    /// \brief Takes the result of a connection to a target, for a request or a check.
    void on_connection(const service_name& service, const target_id& target, bool connected,
                       instant now);

    /// \returns whether this node reaches no target
    [[nodiscard]] bool is_cut_off() const { return cut_off_; }
    /// \returns whether more connections should be tried, because this node is or may be cut off
    [[nodiscard]] bool needs_checks(instant now) const;

private:
    struct failure {
        service_name service;
        instant when{};
    };
    [[nodiscard]] std::size_t failed_targets(instant now) const;
    [[nodiscard]] std::size_t failed_services(instant now) const;

    std::size_t services_{0};
    std::size_t targets_{0};
    std::map<target_id, failure> failures_; ///< latest of each target since the last success
    bool cut_off_{false};
};

} // namespace wigeonrill::health

#endif
