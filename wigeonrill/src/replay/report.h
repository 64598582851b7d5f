#ifndef WIGEONRILL_REPLAY_REPORT_H
#define WIGEONRILL_REPLAY_REPORT_H

#ifndef WIGEONRILL_REPLAY_MODULE
#error "Include wigeonrill/replay.h instead of this file."
#endif

namespace wigeonrill::replay {

/// \brief Detection of one labelled fault at one target.
///
/// The durations are counted from the start of the fault. Events after its end don't count.
struct detection {
    std::string fault;       ///< kind of the fault, as in its label
    std::uint32_t target{0}; ///< position in the trace's table of targets
    /// Time until the first node regarded the target as sick; empty if none did.
    std::optional<nanoseconds> first_detected_after;
    /// Time until all nodes of the trace regarded the target as sick; empty if they never did.
    std::optional<nanoseconds> all_detected_after;
    std::uint64_t work_after{0}; ///< full-weight requests sent to it after the first detection
    nanoseconds last_request_offset{}; ///< time of the last full-weight request sent to it
};

/// \brief Ejection of a target that no fault label marks as sick at that time.
struct false_ejection {
    std::uint32_t target{0}; ///< position in the trace's table of targets
    instant at{};            ///< when the first node regarded the target as sick
    std::uint32_t nodes{0};  ///< how many times a node began to regard the target as sick
};

/// \brief Lowest capacity that a service had on any node during a replay.
struct capacity_minimum {
    service_name service;
    std::uint32_t floor_slots{0};  ///< configured floor of the service
    std::uint32_t lowest_slots{0}; ///< slots of targets with full weight or kept for the floor
    /// Number of plans that ejected a target although fewer slots than the floor stayed in use.
    std::uint64_t floor_violations{0};
};

/// \brief Result of replaying one trace with one policy.
struct report {
    std::string policy;       ///< name of the policy
    std::uint64_t answers{0}; ///< recorded requests that were replayed
    /// Recorded requests that were left out because their target was ejected or had reduced weight.
    std::uint64_t skipped{0};
    std::vector<detection> detections; ///< one entry per label and target in it
    std::vector<false_ejection> false_ejections;
    std::vector<capacity_minimum> capacity; ///< one entry per service
};

} // namespace wigeonrill::replay

#endif
