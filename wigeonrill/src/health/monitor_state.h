#ifndef WIGEONRILL_HEALTH_MONITOR_STATE_H
#define WIGEONRILL_HEALTH_MONITOR_STATE_H

// Implementation of monitor; not included by the umbrella header.
#include "wigeonrill/health.h"

#include <deque>
#include <set>

namespace wigeonrill::health {

/// \brief A verdict expires after this time unless its judge renews it.
inline constexpr seconds verdict_lifetime{30};
/// \brief An aggregator renews its verdict on an ejected target after this time.
inline constexpr seconds renewal_interval{10};

/// \brief Indices of a target in the configuration snapshot: service, and target in the service.
struct target_position {
    std::uint32_t service{0};
    std::uint32_t target{0};

    friend auto operator<=>(const target_position&, const target_position&) = default;
};

/// \brief Evidence of this node on one target that was not reported yet.
struct pending_evidence {
    double nats{0.0};
    std::uint32_t answers{0};
    bool urgent{false};          ///< some of the evidence is against the target, so it is
                                 ///< reported without delay
    bool in_report_queue{false}; ///< whether the target is in monitor_state::report_queue
};

/// \brief What this node keeps on a target as one of its aggregators.
struct aggregation_state {
    evidence_pool pool;
    ejection_tracker ejection;
    double severity{0.0};           ///< CUSUM statistic at the time of the ejection, in nats
    instant last_verdict_sent{};    ///< when this node last issued a verdict
    int return_copies_left{0};      ///< repetitions of the return verdict that are still to be sent
    instant last_other_verdict{};   ///< when the other aggregator's verdict last arrived
    bool suppression_logged{false}; ///< whether it was logged that a shared cause prevents
                                    ///< the ejection
};

/// \brief State of one target.
struct target_record {
    target_id id;
    endpoint address;
    config::registration registered; ///< as configured
    // Evidence that this node collected itself.
    pending_evidence pending;
    double local_cusum{0.0}; ///< CUSUM statistic over the answers that this node received, in nats
    ejection_tracker local_ejection; ///< ejection decided by this node for itself
    double local_severity{0.0};      ///< local_cusum at the time of that ejection
    bool last_connect_failed{false}; ///< set by a failed connection, cleared by a successful answer
    // Aggregation of the evidence of all nodes.
    std::unique_ptr<aggregation_state> as_aggregator; ///< null until this node is an aggregator
    std::vector<node_id> aggregators;                 ///< at most two nodes
    std::uint64_t aggregators_generation{0}; ///< node_generation for which they were chosen
    // State that decides whether this node uses the target.
    std::vector<verdict> verdicts;  ///< the newest verdict of each judge
    bool sick{false};               ///< whether a verdict or the local test says so
    bool configured_leaving{false}; ///< whether the configuration lists its VM as leaving
    instant cold_start_until{};     ///< before this time its latencies are not evaluated
    instant returned_at{};          ///< when it returned from an ejection
    bool ramping{false};            ///< whether its weight still grows after that return
    target_status current_status;
};

/// \brief Statistics of one route of a service.
struct route_record {
    latency_baseline baseline;
    failure_baseline failures;
    shared_cause_detector shared_cause;
};

/// \brief State of one service and its targets.
struct service_record {
    service_name name;
    operating_point point;
    std::uint32_t floor_slots{0};
    std::unordered_map<route_name, route_record> routes;
    shared_cause_detector shared_cause;         ///< over all routes of the service
    std::vector<route_name> outstanding_routes; ///< routes with requests that have no answer yet
    std::vector<target_record> targets;         ///< in the order of the snapshot
    std::unordered_map<target_id, std::uint32_t> positions; ///< index of each target in targets
    ejection_plan plan;
};

/// \brief A request that had no answer at the last tick.
struct outstanding_event {
    service_name service;
    target_id target;
    route_name route;
    nanoseconds age{};        ///< time since the request was sent
    std::uint64_t request{0}; ///< id of the request, see answer::request
};

/// \brief Evidence already counted for a request while it has no answer.
struct counted_evidence {
    double nats{0.0};
    instant seen{}; ///< last tick at which the request was outstanding
};

/// \brief First crash of a target while it ran the request with a fingerprint.
struct crash_record {
    std::uint64_t fingerprint{0};
    target_position position;
    target_id target;
    double nats{0.0}; ///< evidence that the crash added against the target
    instant seen{};
};

/// \brief Private state of a monitor and the steps of its tick.
struct monitor_state {
    explicit monitor_state(monitor_options settings) : options(std::move(settings)) {}

    // monitor_config.cpp
    void configure(instant now);
    /// \brief Rebuilds the sets of target positions after the configuration changed.
    void rebuild_target_sets(instant now);
    /// \copydoc monitor::on_leaving
    bool mark_leaving(const target_id& target, leaving_notice notice, instant now);
    /// \returns the old record if it is of the same process, else a new one
    [[nodiscard]] target_record make_target(const config::target& from, service_record* old,
                                            instant now);
    /// \returns whether the target is configured; position is then set
    [[nodiscard]] bool find(const service_name& service, const target_id& target,
                            target_position& position) const;
    [[nodiscard]] target_record& at(const target_position& position) {
        return services[position.service].targets[position.target];
    }
    [[nodiscard]] const config::target& configured(const target_position& position) const {
        return configuration->services[position.service].targets[position.target];
    }

    // monitor_answers.cpp
    /// \brief Records a pause of the process if this tick is late.
    void detect_pause(instant now);
    /// \brief Discards this node's decisions as aggregator after a long pause.
    void reset_aggregation();
    void process_answer(const answer& ended, instant now);
    void process_probe(const answer& ended, instant now);
    /// \returns whether the process was paused during a part of the span
    [[nodiscard]] bool overlaps_pause(instant from, instant to) const;
    /// \returns the largest slowdown of the other targets of the route, of the service and of all
    ///          services
    [[nodiscard]] double shared_slowdown(const target_position& position, const route_record& route,
                                         instant now) const;
    /// \returns whether most of the other targets of the service or of all services fail
    [[nodiscard]] bool is_failure_shared(const target_position& position, instant now) const;
    /// \returns the evidence from a complete or failed attempt, in nats
    [[nodiscard]] double evidence_of(const answer& ended, const target_position& position,
                                     const route_record& route, instant now);
    /// \returns the evidence from a failed attempt, in nats; takes back that of an earlier crash
    ///          which the same request caused at another target
    [[nodiscard]] double failure_evidence(const answer& ended, const target_position& position,
                                          const route_record& route, instant now);
    /// \brief Adds a finished attempt to the statistics that later attempts are compared with.
    void update_baselines(const answer& ended, const target_position& position, route_record& route,
                          instant now);
    /// \brief Adds evidence to the local statistic and to the next report.
    /// \param nats log-likelihood ratio of sick to healthy
    /// \param attempts number of finished attempts behind the evidence
    void add_evidence(const target_position& position, double nats, std::uint32_t attempts);
    [[nodiscard]] bool is_in_cold_start(const target_position& position, instant now) const;
    void add_crash(std::uint64_t fingerprint, const target_id& target, instant now);
    [[nodiscard]] crash_record* find_crash(std::uint64_t fingerprint);

    /// \brief Starts a cold start when a target answers after a failed connection.
    void detect_restart(const answer& ended, const target_position& position, instant now);

    // monitor_outstanding.cpp
    void process_outstanding(instant now);
    /// \brief Adds an outstanding request to the detectors of shared causes.
    /// \returns whether the request is older than usual, so that its evidence must be counted
    [[nodiscard]] bool record_outstanding(const outstanding_event& waiting,
                                          const target_position& position);
    /// \brief Adds the evidence of an outstanding request that was not counted at earlier ticks.
    void count_outstanding(const outstanding_event& waiting, const target_position& position,
                           instant now);
    /// \returns the evidence counted while the request was outstanding, and forgets it
    [[nodiscard]] double remove_counted_evidence(std::uint64_t request, const target_id& target);

    // monitor_reports.cpp
    /// \brief Sends pending evidence: urgent evidence at once, the rest within the report budget.
    void send_reports(instant now, monitor_actions& actions);
    void send_report(const target_position& position, instant now, monitor_actions& actions);
    /// \returns the aggregators of a target among the live nodes
    const std::vector<node_id>& aggregators_of(target_record& record);
    /// \brief Adds a report to the target's evidence pool.
    void receive(const evidence_report& report, const target_position& position, instant now);
    /// \returns the aggregation state of a target, created if needed
    aggregation_state& aggregation_of(const target_position& position);

    // monitor_judge.cpp
    /// \brief Ejects and returns targets, by the aggregated evidence and by the local test.
    void judge_targets(instant now, monitor_actions& actions);
    /// \brief Requests probes, renews the verdict or returns the target to use.
    void update_ejection(const target_position& position, instant now, monitor_actions& actions);
    void eject(const target_position& position, double severity, instant now,
               monitor_actions& actions);
    void return_to_use(const target_position& position, instant now, monitor_actions& actions);
    /// \brief Renews, as a new aggregator, the verdicts whose judges are no longer aggregators of
    /// their targets.
    void take_over_verdicts(instant now, monitor_actions& actions);
    void resend_return_verdict(const target_position& position, instant now,
                               monitor_actions& actions);
    /// \brief Stores a verdict of another node; an aggregator also adopts its decision.
    void apply_verdict(const verdict& received, const target_position& position, instant now);
    /// \brief Makes a verdict of this node, stores it and queues it for the other nodes.
    void issue_verdict(const target_position& position, target_state state, instant now,
                       monitor_actions& actions);
    /// \brief Ejects a target for this node alone if the evidence of this node suffices.
    void run_local_test(const target_position& position, instant now, monitor_actions& actions);
    /// \returns whether an ejection must wait because other targets are slow or failing too
    [[nodiscard]] bool is_ejection_suppressed(const target_position& position, instant now) const;
    /// \returns whether this node's own observations show a shared cause
    [[nodiscard]] bool has_shared_cause(const target_position& position, instant now) const;
    /// \brief Moves the actions and log lines since the last tick into those of this tick.
    void flush_queued_actions(monitor_actions& actions);
    /// \brief Replaces the verdict of the same judge if the received one is newer.
    void store_verdict(const verdict& received, const target_position& position);

    // monitor_view.cpp
    /// \returns the names of the service and the target for log lines
    [[nodiscard]] std::string log_name(const target_position& position) const;
    /// \returns a number that identifies a target among those of all services
    [[nodiscard]] static std::uint32_t global_target_number(const target_position& position);
    /// \brief Updates the status of the watched targets and the plans that depend on it.
    void refresh(instant now, monitor_actions& actions);
    void refresh_target(const target_position& position, instant now, monitor_actions& actions);
    void refresh_plans(monitor_actions& actions);
    /// \returns the status that results from verdicts, the local test, leaving and cold start
    [[nodiscard]] target_status compute_status(const target_position& position, instant now);
    [[nodiscard]] std::vector<target_condition> conditions(std::uint32_t service) const;

    monitor_options options;
    config::snapshot_ptr configuration;
    std::vector<service_record> services;
    std::unordered_map<service_name, std::uint32_t> service_positions;
    fleet_nodes nodes;
    std::uint64_t node_generation{1};     ///< grows with each change of the node list
    std::uint64_t takeover_generation{0}; ///< node_generation of the last take_over_verdicts()
    std::vector<domain_name> unreachable; ///< failure domains that this node can't reach
    shared_cause_detector shared_cause;   ///< over the targets of all services
    std::uint64_t next_sequence{1};       ///< sequence number of the next report or verdict
    double report_tokens{0.0};            ///< token bucket that limits reports; may be negative

    leaving_targets leaving;

    std::vector<monitor_actions> queued_actions; ///< actions decided since the last tick
    std::vector<answer> answers;
    std::vector<answer> probes;
    std::vector<outstanding_event> outstanding;
    std::vector<std::string> log_lines; ///< log lines for the next tick
    std::unordered_map<std::uint64_t, counted_evidence> counted_outstanding;
    std::deque<crash_record> crashes;
    std::vector<target_position> report_queue;  ///< targets with evidence to report, oldest
                                                ///< first
    std::set<target_position> targets_to_judge; ///< targets with new reports to this aggregator
    std::set<target_position> ejected;          ///< targets that this node as aggregator judged
                                                ///< sick, or whose return it still announces
    std::set<target_position> local_suspects;   ///< targets with new evidence for the local test
    std::set<target_position> watched;          ///< targets whose status may change with time
    std::set<std::uint32_t> stale_plans;        ///< services whose plan must be computed again

    bool plans_changed{false}; ///< set by configure() and cleared by the next tick
    bool has_ticked{false};
    bool has_configured{false}; ///< a configuration was applied before the latest one
    instant last_tick{};
    std::deque<std::pair<instant, instant>> pauses; ///< start and end of the latest ones, oldest
                                                    ///< first
};

} // namespace wigeonrill::health

#endif
