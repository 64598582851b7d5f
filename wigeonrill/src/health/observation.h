#ifndef WIGEONRILL_HEALTH_OBSERVATION_H
#define WIGEONRILL_HEALTH_OBSERVATION_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead."
#endif

namespace wigeonrill::health {

/// \brief What one answer, or its absence, says about a target.
enum class observation_kind : std::uint8_t {
    good,     ///< a prompt success
    failed,   ///< an error, a broken answer, no connection or a shed
    late,     ///< no answer after a multiple of the usual time
    load_only ///< it says only what is outstanding
};

/// \brief Names of the observation kinds in logs.
inline constexpr enum_name_table<observation_kind, 4> observation_kind_names{{
    {observation_kind::good, "good"},
    {observation_kind::failed, "failed"},
    {observation_kind::late, "late"},
    {observation_kind::load_only, "load_only"},
}};

/// \brief One observation of a target, own or of another node.
struct observation {
    service_name service;
    target_id target;
    observation_kind kind{observation_kind::good};
    std::int32_t outstanding{-1}; ///< requests of the telling node in the target, -1: not told
    node_id reporter;             ///< set by the receiver; empty: this node

    friend bool operator==(const observation&, const observation&) = default;
};

} // namespace wigeonrill::health

#endif
