#ifndef WIGEONRILL_REPLAY_TRACE_H
#define WIGEONRILL_REPLAY_TRACE_H

#ifndef WIGEONRILL_REPLAY_MODULE
#error "Include wigeonrill/replay.h instead of this file."
#endif

namespace wigeonrill::replay {

/// \brief Entry of a trace's table of targets.
struct trace_target {
    service_name service;
    target_id id;

    friend bool operator==(const trace_target&, const trace_target&) = default;
};

/// \brief One recorded attempt at a target.
struct recorded_answer {
    std::uint32_t node{0};   ///< position in trace::nodes
    std::uint32_t target{0}; ///< position in trace::targets
    std::uint32_t route{0};  ///< position in trace::routes
    health::answer_kind kind{health::answer_kind::ok};
    instant sent{};
    instant ended{};              ///< when the head of the answer arrived or the attempt failed
    std::uint64_t fingerprint{0}; ///< fingerprint of the request; 0: not recorded

    friend bool operator==(const recorded_answer&, const recorded_answer&) = default;
};

/// \brief A configuration that took effect on all nodes at the same time.
struct recorded_config {
    instant at{};
    config::snapshot_ptr configuration;
};

/// \brief Time span in which a node's process was suspended.
struct recorded_pause {
    std::uint32_t node{0}; ///< position in trace::nodes
    instant from{};
    instant until{};

    friend bool operator==(const recorded_pause&, const recorded_pause&) = default;
};

/// \brief A notice to all nodes that a target is about to stop.
struct recorded_leaving {
    std::uint32_t target{0}; ///< position in trace::targets
    instant at{};

    friend bool operator==(const recorded_leaving&, const recorded_leaving&) = default;
};

/// \brief A fault that was present while the trace was recorded.
///
/// Labels are used only to score a policy. They are never passed to it.
struct fault_label {
    std::string kind; ///< kind of the fault, in generated traces a name of fault_kind_names
    std::vector<std::uint32_t> targets; ///< positions of the sick targets; may be empty
    instant from{};
    instant until{};

    friend bool operator==(const fault_label&, const fault_label&) = default;
};

/// \brief Events that the nodes of a fleet recorded.
///
/// All times are on one clock that starts near 0.
struct trace {
    std::vector<health::fleet_node> nodes;
    std::vector<trace_target> targets;
    std::vector<route_name> routes;
    std::vector<recorded_config> configs;  ///< sorted by time; the first one applies from the start
    std::vector<recorded_answer> answers;  ///< sorted by the time of sending
    std::vector<recorded_pause> pauses;    ///< sorted by start
    std::vector<recorded_leaving> leaving; ///< sorted by time
    std::vector<fault_label> faults;
    instant end{}; ///< time at which the replay stops
};

} // namespace wigeonrill::replay

#endif
