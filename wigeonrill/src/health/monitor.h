#ifndef WIGEONRILL_HEALTH_MONITOR_H
#define WIGEONRILL_HEALTH_MONITOR_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief Settings of a monitor.
struct monitor_options {
    node_id self;                 ///< id of this node
    domain_name domain;           ///< failure domain of this node
    milliseconds tick_period{50}; ///< time between ticks; a tick that is more than 100 ms late is
                                  ///< taken for a pause of the process
    std::uint64_t first_sequence{1}; ///< first sequence number of reports and verdicts; must be
                                     ///< larger than those of earlier processes of this node
};

/// \brief Evidence report to be sent to another node.
struct outgoing_report {
    node_id to;
    evidence_report report;
};

/// \brief Verdict to be sent to other nodes.
struct outgoing_verdict {
    std::vector<node_id> to; ///< receivers, without this node
    verdict content;
};

/// \brief Asks the control thread to send one probe to an ejected target.
struct probe_request {
    service_name service;
    target_id target;
};

/// \brief What the control thread must do after a tick.
struct monitor_actions {
    std::vector<outgoing_report> reports;
    std::vector<outgoing_verdict> verdicts;
    std::vector<probe_request> probes;
    std::vector<std::string> log; ///< complete log lines
    bool plans_changed{false};    ///< whether a service's plan differs from before the tick
};

/// \brief State of one target that this node applies.
struct target_status {
    target_state state{target_state::healthy};
    double severity{0.0}; ///< evidence behind an ejection, in nats; larger is worse
    double weight{1.0};   ///< share of the normal load in (0, 1], below 1 while warming
    std::string reason;   ///< cause of the state, for logs and administration pages; empty when
                          ///< healthy
};

/// \brief Detects sick targets from their answers and decides which targets may receive requests.
///
/// Not thread-safe. Attempts, probes and outstanding requests are stored until the next tick, which
/// first checks whether the process was paused and then evaluates them.
class monitor {
public:
    explicit monitor(monitor_options options);
    monitor(const monitor&) = delete;
    monitor& operator=(const monitor&) = delete;
    ~monitor();

    /// \brief Applies a configuration. Targets with the same id and address keep their state.
    void configure(config::snapshot_ptr configuration, instant now);
    /// \brief Sets the live nodes that this node exchanges messages with in both directions. This
    /// node is added if missing.
    void set_nodes(std::vector<fleet_node> live);
    /// \brief Sets the failure domains that this node can't reach.
    void set_unreachable_domains(std::vector<domain_name> domains);

    /// \brief Adds a finished attempt.
    void on_answer(const answer& ended);
    /// \brief Adds a request that has no answer yet. Must be called before each tick for every such
    /// request.
    /// \param age time since the request was sent to the target
    /// \param request id that the answer of this request will carry in answer::request
    void on_outstanding(const service_name& service, const target_id& target,
                        const route_name& route, nanoseconds age, std::uint64_t request);
    /// \brief Adds the result of a probe that a tick requested.
    /// \param ended the attempt; without a route if the probe used a health endpoint
    void on_probe(const answer& ended);
    /// \brief Adds an evidence report from another node.
    void on_evidence(const evidence_report& report, instant now);
    /// \brief Adds a verdict from another node.
    /// \param received the verdict, with its expiry converted to this node's clock
    void on_verdict(const verdict& received, instant now);
    /// \brief Records that a target is about to stop or has stopped, and must receive no new
    ///        requests; or that it doesn't leave any more.
    /// \param notice if its process is not known, it is about the one that is configured
    /// \returns whether it was news
    bool on_leaving(const target_id& target, const leaving_notice& notice, instant now);
    /// \brief Forgets which registrations are gone; processes that leave are remembered. To be
    /// called
    ///        when the platform's store counts its revisions anew.
    void forget_removed_registrations();
    /// \brief Records that a target crashed while it ran the request with this fingerprint.
    void on_crash_mark(std::uint64_t fingerprint, const target_id& target, instant now);

    /// \brief Evaluates everything that was added since the last tick.
    /// \returns what the control thread must do
    [[nodiscard]] monitor_actions tick(instant now);

    /// \returns the state of a target; healthy without a reason if the target is not known
    [[nodiscard]] target_status status(const service_name& service, const target_id& target) const;
    /// \returns the inputs of a service's ejection plan, in the order of its targets
    [[nodiscard]] std::vector<target_condition> conditions(const service_name& service) const;
    /// \returns the targets of a service that may receive requests, as of the last tick or
    /// configure()
    [[nodiscard]] ejection_plan plan(const service_name& service) const;
    /// \returns the unexpired verdicts that this node holds, to be spread by gossip
    [[nodiscard]] std::vector<verdict> verdicts(instant now) const;

private:
    std::unique_ptr<struct monitor_state> state_;
};

} // namespace wigeonrill::health

#endif
