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

/// \brief Decision of a node on the state of one target.
///
/// Aggregators decide from evidence. Any node may announce a target as leaving.
struct verdict {
    service_name service;
    target_id target;
    target_state state{target_state::healthy};
    double severity{0.0};      ///< CUSUM statistic in nats; larger is worse
    node_id judge;             ///< node that made the decision
    std::uint64_t sequence{0}; ///< grows with each verdict of this judge
    instant expires{};         ///< on the clock of the node that holds it

    friend bool operator==(const verdict&, const verdict&) = default;
};

} // namespace wigeonrill::health

#endif
