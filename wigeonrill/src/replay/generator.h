#ifndef WIGEONRILL_REPLAY_GENERATOR_H
#define WIGEONRILL_REPLAY_GENERATOR_H

#ifndef WIGEONRILL_REPLAY_MODULE
#error "Include wigeonrill/replay.h instead of this file."
#endif

namespace wigeonrill::replay {

/// \brief Size, configuration and load of a generated site.
struct site_shape {
    std::string name; ///< name in tables of results
    std::uint32_t services{3};
    std::uint32_t targets_per_service{10};
    std::uint32_t slots{6};       ///< slots of each target
    std::uint32_t floor_slots{0}; ///< floor of each service
    std::uint32_t nodes{36};
    std::uint32_t domains{4}; ///< failure domains over which nodes and targets are spread
    config::health_weight weight{config::health_weight::detection};
    double answers_per_second{11.0}; ///< of each target, summed over all nodes
};

/// \returns a site like that of Macrae & Lennox, with an operating point for short detection times
[[nodiscard]] site_shape scotland();
/// \returns a site like that of Swanleaf Nutrition Labs, with an operating point for few false
/// ejections
[[nodiscard]] site_shape western_australia();

/// \brief Kinds of faults that generate_trace() can add to a trace.
enum class fault_kind : std::uint8_t {
    none,            ///< no effect
    slow_10,         ///< a target is ten times slower
    slow_3,          ///< a target is three times slower
    errors_30,       ///< a target answers 30 % of its requests with a server error
    wrong_answers,   ///< a target answers half of its requests with malformed bytes
    flapping,        ///< a target is ten times slower for 5 s of every 10 s
    hang,            ///< a target doesn't answer
    target_lost,     ///< connections to a target fail
    domain_lost,     ///< no target of a failure domain answers
    cold_start,      ///< a target is added, slow at first and faster over time
    shared_slowdown, ///< all targets of a service are three times slower
    own_pause,       ///< a node's process is suspended
    bad_link,        ///< all answers reach one node 0.4 s late
    crash_request    ///< a request ends the process of each target that it is sent to
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

/// \brief One fault that the generated trace is to contain.
struct planned_fault {
    fault_kind kind{fault_kind::none};
    /// Position of the affected target, service, node or failure domain, depending on the kind.
    std::uint32_t subject{0};
    instant from{};
    instant until{};
};

/// \brief Generates a trace. The same arguments always give the same trace.
/// \param shape site whose nodes, targets and load are generated
/// \param duration length of the trace
/// \param faults faults to apply, sorted by start
/// \param seed seed of the random number generator
[[nodiscard]] trace generate_trace(const site_shape& shape, seconds duration,
                                   const std::vector<planned_fault>& faults, std::uint64_t seed);

} // namespace wigeonrill::replay

#endif
