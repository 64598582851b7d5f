#ifndef WIGEONRILL_DISPATCH_SERVICE_STATE_H
#define WIGEONRILL_DISPATCH_SERVICE_STATE_H

#ifndef WIGEONRILL_DISPATCH_MODULE
#error "Include wigeonrill/dispatch.h instead of this file."
#endif

namespace wigeonrill::dispatch {

/// \brief Result of an attempt to place a request.
struct placement {
    place_ptr place;             ///< null: no free place
    std::uint32_t candidates{0}; ///< targets with a free place
};

/// \brief Targets, queue and budgets of one service. Not thread-safe.
class service_state {
public:
    /// \param policy chooses among targets with a free place
    /// \param own_domain failure domain of this node; empty: unknown
    explicit service_state(std::unique_ptr<routing::placement_policy> policy,
                           domain_name own_domain = domain_name());

    /// \brief Takes over the eligible targets of a view; limits of known targets stay.
    /// \param generation number of the view; the same view again costs nothing
    void sync(std::uint64_t generation, const routing::service_view& view);
    /// \brief Forgets the eligible targets of a service that is no longer configured.
    void clear() { eligible_.clear(); }
    /// \brief Takes a place in a target.
    /// \param avoid targets that this request already tried; used only if no other one is eligible
    [[nodiscard]] placement place(std::span<const target_id> avoid, instant now,
                                  random_source& random);

    /// \brief Asks for one request to an ejected target, to learn whether it recovered.
    /// \param target target of the service, outside the eligible ones
    /// \param until end of the wish; a service without requests is not probed
    void want_probe(const config::target& target, instant until);
    /// \brief Takes the place of a wanted probe.
    /// \returns null: no probe is wanted now
    [[nodiscard]] place_ptr take_probe(instant now);

    /// \brief Adds what this or another node saw of a target; unknown targets are ignored.
    void observe(const target_id& target, health::observation_kind kind, instant now);
    /// \brief Takes the number of requests that a peer has in a target.
    void learn_load(const target_id& target, const node_id& peer, std::uint32_t count, instant now);
    /// \returns the places whose own requests other nodes don't know, or not for sure any more
    [[nodiscard]] std::vector<place_ptr> untold(instant now) const;
    /// \returns true when another target than this one is probably healthy and has a free place
    [[nodiscard]] bool has_place_besides(const target_id& target, instant now) const;

    /// \brief Records the latency of a prompt success.
    void learn_latency(const route_name& route, nanoseconds latency);
    /// \returns the age at which a request of a route counts as late
    [[nodiscard]] nanoseconds late_after(const config::route& route) const;

    /// \returns true when a target may get work, now or later
    [[nodiscard]] bool any_eligible(instant now) const;
    /// \returns the next time at which a target's hold ends, or the given time if that is earlier
    [[nodiscard]] instant next_hold_end(instant now, instant latest) const;

    admission::wait_queue queue{0};
    admission::wait_estimator estimator;
    admission::request_budget retries{admission::make_retry_budget()};

private:
    struct share {
        place_ptr place;
        double weight{1.0};
    };
    struct wanted_probe {
        place_ptr place;
        instant until{};
    };
    [[nodiscard]] place_ptr known_place(const config::target& target);
    [[nodiscard]] bool is_eligible(const place_ptr& place) const;
    [[nodiscard]] bool usable(const share& it, std::span<const target_id> avoid, instant now) const;
    void collect(std::span<const target_id> avoid, instant now);
    [[nodiscard]] routing::placement_candidate candidate_of(const share& it, instant now) const;

    std::unique_ptr<routing::placement_policy> policy_;
    domain_name own_domain_;
    std::uint64_t generation_{0};
    std::vector<share> eligible_;
    std::vector<wanted_probe> probes_; ///< few: one per ejected target at most
    std::unordered_map<target_id, place_ptr> known_;
    std::unordered_map<route_name, routing::latency_mean> latencies_; ///< of prompt successes
    std::vector<routing::placement_candidate> candidates_; ///< reused, to allocate nothing
    std::vector<std::size_t> positions_;                   ///< of candidates_ in eligible_
};

} // namespace wigeonrill::dispatch

#endif
