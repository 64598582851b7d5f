#ifndef WIGEONRILL_REPLAY_GENERATOR_H
#define WIGEONRILL_REPLAY_GENERATOR_H

#ifndef WIGEONRILL_REPLAY_MODULE
#error "Include wigeonrill/replay.h instead of this file."
#endif

namespace wigeonrill::replay {

/// \brief Shape of a site.
struct site_shape {
    std::string name;
    std::uint32_t services{3};
    std::uint32_t targets_per_service{10};
    std::uint32_t slots{6};
    std::uint32_t floor_slots{0};
    std::uint32_t nodes{36};
    std::uint32_t domains{4};
    config::health_weight weight{config::health_weight::detection};
    double answers_per_second{11.0}; ///< of one target, over all nodes
};

/// \returns the shape of Macrae & Lennox
[[nodiscard]] site_shape scotland();
/// \returns the shape of Swanleaf Nutrition Labs
[[nodiscard]] site_shape western_australia();

/// \brief Kinds of faults that the generator makes.
enum class fault_kind : std::uint8_t {
    none,
    slow_10,
    slow_3,
    errors_30,
    wrong_answers,
    flapping,
    hang,
    target_lost,
    domain_lost,
    cold_start,
    shared_slowdown,
    own_pause,
    bad_link,
    crash_request
};

/// \brief Names of the fault kinds in labels and tables.
inline constexpr enum_name_table<fault_kind, 14> fault_kind_names{{
    {fault_kind::none, "none"},
    {fault_kind::slow_10, "slow_10"},
    {fault_kind::slow_3, "slow_3"},
    {fault_kind::errors_30, "errors_30"},
    {fault_kind::wrong_answers, "wrong_answers"},
    {fault_kind::flapping, "flapping"},
    {fault_kind::hang, "hang"},
    {fault_kind::target_lost, "target_lost"},
    {fault_kind::domain_lost, "domain_lost"},
    {fault_kind::cold_start, "cold_start"},
    {fault_kind::shared_slowdown, "shared_slowdown"},
    {fault_kind::own_pause, "own_pause"},
    {fault_kind::bad_link, "bad_link"},
    {fault_kind::crash_request, "crash_request"},
}};

/// \brief One fault to be made.
struct planned_fault {
    fault_kind kind{fault_kind::none};
    std::uint32_t subject{0}; ///< target, service, node or domain, by kind
    instant from{};
    instant until{};
};

/// \brief Makes a trace. The same arguments make the same trace.
/// \param shape site
/// \param duration length of the trace
/// \param faults faults in it, sorted by start
/// \param seed seed of the random numbers
[[nodiscard]] trace generate(const site_shape& shape, seconds duration,
                             const std::vector<planned_fault>& faults, std::uint64_t seed);

} // namespace wigeonrill::replay

#endif
