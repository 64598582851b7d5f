#ifndef WIGEONRILL_HEALTH_VERDICT_H
#define WIGEONRILL_HEALTH_VERDICT_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief State of a target, derived from the evidence on it.
enum class target_state : std::uint8_t {
    healthy, ///< used with full weight
    sick,    ///< ejected as far as the service's capacity floor allows
    warming, ///< returning at reduced weight, or within its cold start
    leaving  ///< about to stop; receives no new requests
};

/// \brief Names of the target states in logs and status.
inline constexpr enum_name_table<target_state, 4> target_state_names{{
    {target_state::healthy, "healthy"},
    {target_state::sick, "sick"},
    {target_state::warming, "warming"},
    {target_state::leaving, "leaving"},
}};

/// \brief Value of registration::created above that of every registration of a process.
inline constexpr std::uint64_t any_registration = std::numeric_limits<std::int64_t>::max();

/// \brief Value of verdict::order of what a target says of itself.
inline constexpr std::uint64_t last_order = std::numeric_limits<std::int64_t>::max();

/// \brief Decision of a node on the state of one target.
///
/// Aggregators decide from evidence. Any node may announce a target as leaving, or as healthy if it
/// took that back.
struct verdict {
    service_name service;
    target_id target;
    target_state state{target_state::healthy};
    double severity{0.0};      ///< CUSUM statistic in nats; larger is worse
    node_id judge;             ///< node that made the decision
    std::uint64_t sequence{0}; ///< grows with each verdict of this judge
    instant expires{};         ///< on the clock of the node that holds it
    /// Process of the target that it is about, unknown if its start is 0. A target that leaves does
    /// so with this registration and all earlier ones.
    config::registration about{0, any_registration};
    /// Orders the news of the leaving of one process: era and revision of the store in which it was
    /// read, or last_order if the process said so itself, which holds until it ends.
    std::uint64_t order{last_order};

    friend bool operator==(const verdict&, const verdict&) = default;
};

/// \returns whether a verdict tells that a target leaves, or that it doesn't leave any more
[[nodiscard]] bool is_news_of_leaving(const verdict& it);

/// \brief Returns the order of two verdicts on the same target: both by the same judge, or both
/// news
///        of its leaving by any judges.
/// \returns true when one is later than the other
[[nodiscard]] bool is_later(const verdict& one, const verdict& other);

} // namespace wigeonrill::health

#endif
