#ifndef WIGEONRILL_HEALTH_MONITOR_H
#define WIGEONRILL_HEALTH_MONITOR_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief Settings of a monitor.
struct monitor_options {
    node_id self;
    domain_name domain;
    milliseconds tick_period{50};    ///< a tick more than 100 ms later than this is a pause
    std::uint64_t first_sequence{1}; ///< must grow from one process to its successor at an address
};

/// \brief Evidence report and its receiver.
struct outgoing_report {
    node_id to;
    evidence_report report;
};

/// \brief Verdict and its receivers; never this node.
struct outgoing_verdict {
    std::vector<node_id> to;
    verdict content;
};

/// \brief Request for one probe of an ejected target.
struct probe_request {
    service_name service;
    target_id target;
};

/// \brief What the control thread has to do after a tick.
struct monitor_actions {
    std::vector<outgoing_report> reports;
    std::vector<outgoing_verdict> verdicts;
    std::vector<probe_request> probes;
    std::vector<std::string> log; ///< whole log lines
    bool plans_changed{false};    ///< a plan differs from the one before the tick
};

/// \brief State of one target as this node uses it.
struct target_status {
    target_state state{target_state::healthy};
    double severity{0.0}; ///< nats; larger is worse
    double weight{1.0};   ///< share while warming
    std::string reason;   ///< who or what put it into the state; empty when healthy
};

/// \brief Detects sick targets from answers and decides which targets may get work.
///
/// Used by one thread. Events are kept until the next tick, so that a pause of the process is known
/// before they are judged.
class monitor {
public:
    explicit monitor(monitor_options options);
    monitor(const monitor&) = delete;
    monitor& operator=(const monitor&) = delete;
    ~monitor();

    /// \brief Takes over a configuration; targets with the same id and address keep their state.
    void configure(config::snapshot_ptr configuration, instant now);
    /// \brief Takes over the live nodes that hear us and that we hear; this node may be missing.
    void set_nodes(std::vector<fleet_node> live);
    /// \brief Takes over the failure domains that this node can't reach.
    void set_unreachable_domains(std::vector<domain_name> domains);

    /// \brief Adds an ended attempt.
    void on_answer(const answer& ended);
    /// \brief Adds a request that has no answer yet. Call it before each tick for each of them.
    /// \param age time since the request was sent to the target
    /// \param request id that answer::request will carry
    void on_outstanding(const service_name& service, const target_id& target,
                        const route_name& route, nanoseconds age, std::uint64_t request);
    /// \brief Adds the result of a probe that a tick asked for.
    /// \param ended its route is empty for a health endpoint
    void on_probe(const answer& ended);
    /// \brief Adds a report of another node.
    void on_evidence(const evidence_report& report, instant now);
    /// \brief Adds a verdict of another node; its expiry is on this node's clock.
    void on_verdict(const verdict& judged, instant now);
    /// \brief Records that a target is about to stop.
    void on_leaving(const target_id& target, instant now);
    /// \brief Records that a target died while it ran the request with this fingerprint.
    void on_crash_mark(std::uint64_t fingerprint, const target_id& target, instant now);

    /// \brief Judges everything that was added since the last tick.
    [[nodiscard]] monitor_actions tick(instant now);

    /// \returns the state of a target; healthy without a reason when it is unknown
    [[nodiscard]] target_status status(const service_name& service, const target_id& target) const;
    /// \returns the conditions from which a service's plan is made, in the order of its targets
    [[nodiscard]] std::vector<target_condition> conditions(const service_name& service) const;
    /// \returns the targets of a service that may get work, as of the last tick or configure()
    [[nodiscard]] ejection_plan plan(const service_name& service) const;
    /// \returns unexpired verdicts that this node knows, for gossip
    [[nodiscard]] std::vector<verdict> verdicts(instant now) const;

private:
    std::unique_ptr<struct monitor_state> state_;
};

} // namespace wigeonrill::health

#endif
