#ifndef WIGEONRILL_DISPATCH_SERVICE_STATE_H
#define WIGEONRILL_DISPATCH_SERVICE_STATE_H

#ifndef WIGEONRILL_DISPATCH_MODULE
#error "Include wigeonrill/dispatch.h instead of this file."
#endif

namespace wigeonrill::dispatch {

/// \brief Result of choosing a target for a request.
struct placement {
    target_record_ptr chosen_target; ///< chosen target; null: all targets are at their limits
    std::uint32_t candidates{0};     ///< targets below their limits that were compared
};

/// \brief Targets, queue, estimates and budgets of one service. Not thread-safe.
class service_state {
public:
    /// \param policy chooses among the targets that are below their concurrency limits
    /// \param limits rate limits of all targets; must outlive this object
    /// \param own_domain failure domain of this node; empty: unknown
    service_state(std::unique_ptr<routing::placement_policy> policy,
                  routing::rate_limit_table& limits, domain_name own_domain);

    /// \brief Replaces the eligible targets by those of a view. The state of known targets is kept.
    /// \param generation number of the view; a repeated number returns at once
    void sync(std::uint64_t generation, const routing::service_view& view);
    /// \brief Removes all eligible targets and probes, because the service is no longer configured.
    void clear();
    /// \brief Chooses a target and counts one more request against its concurrency and rate limits.
    /// \param avoid targets that this request already tried; chosen only if no other target is
    ///        eligible
    /// \param repeat policy of the request's route; targets that may still be failing are tried
    ///        sooner with requests that can be repeated
    [[nodiscard]] placement place(std::span<const target_id> avoid, config::repeat_policy repeat,
                                  instant now, random_source& random);

    /// \brief Requests a probe: one caller's request is sent to an ejected target, to learn whether
    ///        the target has recovered.
    /// \param target target of the service that is not eligible
    /// \param until time after which the probe is dropped when no suitable request came
    void request_probe(const config::target& target, instant until);
    /// \brief Takes a pending probe and counts its request against the target's limits.
    /// \returns the target to probe, or null when no probe can start now
    [[nodiscard]] target_record_ptr acquire_probe_target(instant now);

    /// \brief Counts a request of a caller that this node received for the service.
    void on_request(instant now);
    /// \brief Sets the group of nodes that share their observations, with this one. The slice of
    ///        targets follows with the next view.
    void set_group(const routing::group_position& group) { group_ = group; }
    /// \brief Updates the failure estimate of a target with an observation of this or another node.
    ///        Unknown targets are ignored.
    void observe(const target_id& target, health::observation_kind kind, instant now);
    /// \brief Records how many requests another node has in a target. Unknown targets are ignored.
    void set_peer_outstanding(const target_id& target, const node_id& peer, std::uint32_t count,
                              instant now);
    /// \returns the targets whose request count must be published, because it has changed, or
    ///          because it is above 0 and was last published peer_load::repeat_interval ago
    [[nodiscard]] std::vector<target_record_ptr> unpublished_targets(instant now) const;
    /// \returns true when an eligible target other than this one is below its limit and probably
    ///          not failing
    [[nodiscard]] bool has_alternative_to(const target_id& target, instant now) const;

    /// \brief Records the latency of a successful answer.
    void add_latency(const route_name& route, nanoseconds latency);
    /// \returns the time after sending at which an unanswered request of a route counts as late:
    ///          2.5 times the mean latency, at least 100 ms; before enough answers were measured,
    ///          the route's target_latency or else its first_byte limit
    [[nodiscard]] nanoseconds late_threshold(const config::route& route) const;

    /// \returns the time in which nearly all answers of a route end: 2.5 times the mean latency, at
    ///          least 100 ms, or the longest recent one if that is more; before enough answers were
    ///          measured, the route's total limit
    [[nodiscard]] nanoseconds longest_usual_latency(const config::route& route) const;

    /// \returns the work of a route's requests; 0 before enough answers were measured
    [[nodiscard]] admission::expected_work expected_work(const config::route& route) const;
    /// \returns the requests of all nodes of the group per slot in the targets that this node uses
    ///          and that probably work; 0 when no other node told a valid count
    [[nodiscard]] double load_level(instant now) const;

    /// \returns true when a known target announced that it is draining
    [[nodiscard]] bool has_draining_targets() const;
    /// \returns true when at least one eligible target is not draining; it may be at its limit
    [[nodiscard]] bool any_eligible(instant now) const;
    /// \returns the earliest time after `now` at which the backoff of a target ends or its rate
    ///          limit allows a request, but at most `latest`
    [[nodiscard]] instant next_chance(instant now, instant latest) const;
    /// \returns how long a request would wait behind the queue for rate limits and for the ends of
    ///          pauses, when these bind all targets; nanoseconds::max() when this node has no share
    ///          of any limit; nothing when a target takes requests without a limit
    [[nodiscard]] std::optional<nanoseconds> announced_wait(instant now) const;

    /// \brief Shows the targets of a view as the next placement would see them. Where a placement
    ///        depends on a random draw, it is one that prefers the failure domain of this node.
    [[nodiscard]] std::vector<target_explanation>
    explain(const routing::service_view& view, config::repeat_policy repeat, instant now) const;

    /// Requests that wait for a target. The bound is set by sync().
    admission::waiting_room waiting;
    /// Share of their target latency that the latest route's requests take, 1 for a half; infinity
    /// when it isn't known.
    double latency_level{std::numeric_limits<double>::infinity()};
    /// Limits the retries to a share of the requests.
    admission::retry_budget retries{admission::make_retry_budget()};

private:
    // A weight of 0 would make a target's relative load infinite.
    static constexpr double min_weight = 0.001;

    struct weighted_target {
        target_record_ptr record;
        double weight{1.0}; ///< of the view, above 0
        bool is_own{true};  ///< in the slice of targets that this node's group mainly uses
    };
    struct pending_probe {
        target_record_ptr record;
        instant until{}; ///< the probe is dropped at this time
    };
    /// \brief Returns the record of a target with its configured values brought up to date.
    [[nodiscard]] target_record_ptr find_or_add_target(const config::target& target);
    /// \returns the same as late_threshold(), but nothing before enough answers were measured
    [[nodiscard]] std::optional<nanoseconds>
    measured_late_threshold(const config::route& route) const;
    [[nodiscard]] bool is_eligible(const target_record_ptr& record) const;
    /// \returns true when a target is not draining, and below its concurrency and rate limits
    [[nodiscard]] bool has_room(const target_record& record, instant now) const;
    /// \returns why an eligible target can't take a request now
    [[nodiscard]] target_obstacle obstacle_of(const target_record& record, instant now) const;
    /// \returns true when a probe of a target is pending and can start now
    [[nodiscard]] bool awaits_probe(const target_id& target, instant now) const;
    /// \returns the record of a target, or a new one if none is known of this process of it
    [[nodiscard]] target_record_ptr record_for_explanation(const config::target& target) const;
    /// \returns true when a target has room and is not in `avoid`
    [[nodiscard]] bool can_take_request(const weighted_target& it, std::span<const target_id> avoid,
                                        instant now) const;
    /// Conditions that apply to all candidates of one placement.
    struct placement_conditions {
        instant now;
        bool prefers_own_domain{true};
        bool tries{false};       ///< the policy needs trials of suspected targets
        nanoseconds trial_age{}; ///< time since its last bad answer after which a target is tried
    };
    [[nodiscard]] placement_conditions conditions(config::repeat_policy repeat, instant now,
                                                  random_source& random) const;
    /// \returns the time since its last bad answer after which a suspected target is tried
    [[nodiscard]] nanoseconds trial_age(instant now) const;
    /// \returns true when a target is probably failing or has a low weight
    [[nodiscard]] static bool is_suspected(const weighted_target& it, instant now);
    /// \returns true when a target, if it is suspected of failing, may be tried by this node now
    [[nodiscard]] static bool is_trial_due(const target_record& record,
                                           const placement_conditions& conditions);
    /// \brief Fills candidates_ and positions_ with the targets that can take a request now.
    void collect_candidates(std::span<const target_id> avoid,
                            const placement_conditions& conditions);
    [[nodiscard]] routing::placement_candidate
    make_candidate(const weighted_target& it, const placement_conditions& conditions) const;

    std::unique_ptr<routing::placement_policy> policy_;
    routing::rate_limit_table* limits_;
    domain_name own_domain_;
    routing::group_position group_;
    std::uint64_t generation_{0}; ///< number of the view that sync() last took over
    std::vector<weighted_target> eligible_;
    std::vector<pending_probe> pending_probes_;              ///< at most one per ejected target
    std::unordered_map<target_id, target_record_ptr> known_; ///< also targets not eligible now
    std::unordered_map<route_name, routing::latency_mean> latencies_; ///< of successful answers
    std::vector<routing::placement_candidate> candidates_; ///< kept, to avoid reallocation
    std::vector<std::size_t> positions_;                   ///< index in eligible_ of each candidate
};

} // namespace wigeonrill::dispatch

#endif
