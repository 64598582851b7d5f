#ifndef WIGEONRILL_CONFIG_SERVICE_H
#define WIGEONRILL_CONFIG_SERVICE_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief Whether the detector of a service favours fast detection or few false ejections.
enum class health_weight : std::uint8_t {
    detection, ///< detect failing targets quickly, at the cost of more false ejections
    precision  ///< avoid false ejections, at the cost of slower detection
};

/// \brief Names of the values in the configuration document.
inline constexpr enum_name_table<health_weight, 2> health_weight_names{{
    {health_weight::detection, "detection"},
    {health_weight::precision, "precision"},
}};

/// \brief A group of targets that can all serve the same requests.
struct service {
    service_name name;
    std::uint32_t floor_slots{0}; ///< total slots of targets that ejections must leave in use
    health_weight weight{health_weight::detection};
    std::uint32_t queue_limit{64}; ///< most requests that may wait for a slot on one node
    std::vector<target> targets;

    friend bool operator==(const service&, const service&) = default;
};

} // namespace wigeonrill::config

#endif
