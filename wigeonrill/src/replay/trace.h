#ifndef WIGEONRILL_REPLAY_TRACE_H
#define WIGEONRILL_REPLAY_TRACE_H

#ifndef WIGEONRILL_REPLAY_MODULE
#error "Include wigeonrill/replay.h instead of this file."
#endif

namespace wigeonrill::replay {

/// \brief Target that occurs in a trace.
struct trace_target {
    service_name service;
    target_id id;

    friend bool operator==(const trace_target&, const trace_target&) = default;
};

/// \brief One attempt. Numbers are positions in the trace's tables.
struct recorded_answer {
    std::uint32_t node{0};
    std::uint32_t target{0};
    std::uint32_t route{0};
    health::answer_kind kind{health::answer_kind::ok};
    instant sent{};
    instant ended{};
    std::uint64_t fingerprint{0};

    friend bool operator==(const recorded_answer&, const recorded_answer&) = default;
};

/// \brief A configuration that came into force on all nodes.
struct recorded_config {
    instant at{};
    config::snapshot_ptr configuration;
};

/// \brief Span in which a node's process did not run.
struct recorded_pause {
    std::uint32_t node{0};
    instant from{};
    instant until{};

    friend bool operator==(const recorded_pause&, const recorded_pause&) = default;
};

/// \brief A notice that a target is about to stop.
struct recorded_leaving {
    std::uint32_t target{0};
    instant at{};

    friend bool operator==(const recorded_leaving&, const recorded_leaving&) = default;
};

/// \brief A fault that was present. For scoring only; no policy sees it.
struct fault_label {
    std::string kind;
    std::vector<std::uint32_t> targets; ///< sick targets; empty when no target is sick
    instant from{};
    instant until{};

    friend bool operator==(const fault_label&, const fault_label&) = default;
};

/// \brief What the nodes of a fleet recorded. Times are on one clock that starts near 0.
struct trace {
    std::vector<health::fleet_node> nodes;
    std::vector<trace_target> targets;
    std::vector<route_name> routes;
    std::vector<recorded_config> configs;  ///< sorted by time; the first is in force at the start
    std::vector<recorded_answer> answers;  ///< sorted by the time of sending
    std::vector<recorded_pause> pauses;    ///< sorted by start
    std::vector<recorded_leaving> leaving; ///< sorted by time
    std::vector<fault_label> faults;
    instant end{}; ///< the replay stops here
};

} // namespace wigeonrill::replay

#endif
