#ifndef WIGEONRILL_HEALTH_OBSERVATION_H
#define WIGEONRILL_HEALTH_OBSERVATION_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead."
#endif

namespace wigeonrill::health {

/// \brief What an answer, or a missing answer, shows about a target.
enum class observation_kind : std::uint8_t {
    good,     ///< a success in the usual time
    failed,   ///< an error, an invalid answer, no connection or a shed
    late,     ///< no answer within a multiple of the usual time
    load_only ///< only the number of outstanding requests
};

/// \brief Names of the observation kinds in logs.
inline constexpr enum_name_table<observation_kind, 4> observation_kind_names{{
    {observation_kind::good, "good"},
    {observation_kind::failed, "failed"},
    {observation_kind::late, "late"},
    {observation_kind::load_only, "load_only"},
}};

/// \brief One observation of a target, made by this node or received from another one.
struct observation {
    service_name service;
    target_id target;
    observation_kind kind{observation_kind::good};
    std::int32_t outstanding{-1}; ///< outstanding requests of the reporter at the target, -1: not
                                  ///< reported
    node_id reporter;             ///< set when received; empty: this node

    friend bool operator==(const observation&, const observation&) = default;
};

} // namespace wigeonrill::health

#endif
