#ifndef WIGEONRILL_REPLAY_REPORT_H
#define WIGEONRILL_REPLAY_REPORT_H

#ifndef WIGEONRILL_REPLAY_MODULE
#error "Include wigeonrill/replay.h instead of this file."
#endif

namespace wigeonrill::replay {

/// \brief How one labelled fault of one target was detected.
struct detection {
    std::string fault;
    std::uint32_t target{0};
    std::optional<nanoseconds> first; ///< from its start until a node held the target for sick
    std::optional<nanoseconds> all;   ///< until each running node that used it did
    std::uint64_t work_after{0};      ///< answers sent to it after a node held it for sick
    nanoseconds last_work{};          ///< last full-weight request sent to it, from the start
};

/// \brief An ejection of a target that no label calls sick.
struct false_ejection {
    std::uint32_t target{0};
    instant at{};
    std::uint32_t nodes{0}; ///< nodes that held it for sick at some time of the episode
};

/// \brief Lowest capacity of a service on any node.
struct capacity_low {
    service_name service;
    std::uint32_t floor_slots{0};
    std::uint32_t lowest_slots{0}; ///< slots of targets with a full share or kept for the floor
    std::uint64_t broken{0};       ///< ticks with an ejection while less than the floor was in use
};

/// \brief Result of a replay.
struct report {
    std::string policy;
    std::uint64_t answers{0}; ///< answers that the policy was given
    std::uint64_t skipped{0}; ///< recorded answers of targets that the policy did not use
    std::vector<detection> detections;
    std::vector<false_ejection> false_ejections;
    std::vector<capacity_low> capacity;
};

} // namespace wigeonrill::replay

#endif
