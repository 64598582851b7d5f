#ifndef WIGEONRILL_CONFIG_SERVICE_H
#define WIGEONRILL_CONFIG_SERVICE_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief Operating point of the detector: what a service's operators weigh more.
enum class health_weight : std::uint8_t {
    detection, ///< short detection time
    precision  ///< few false ejections
};

/// \brief Names of the weights in the rules file.
inline constexpr enum_name_table<health_weight, 2> health_weight_names{{
    {health_weight::detection, "detection"},
    {health_weight::precision, "precision"},
}};

/// \brief A group of targets that answer the same requests.
struct service {
    service_name name;
    std::uint32_t floor_slots{0}; ///< healthy capacity that ejection must leave, in slots
    health_weight weight{health_weight::detection};
    std::uint32_t queue_limit{64}; ///< requests that may wait for a slot on one node
    std::vector<target> targets;

    friend bool operator==(const service&, const service&) = default;
};

} // namespace wigeonrill::config

#endif
