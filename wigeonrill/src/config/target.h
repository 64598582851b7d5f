#ifndef WIGEONRILL_CONFIG_TARGET_H
#define WIGEONRILL_CONFIG_TARGET_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief Tells which process a target is, and which of its registrations with the platform.
///
/// Registrations of a target are ordered: by the start of their process, then by their creation.
struct registration {
    /// Start of the process, milliseconds since the epoch by its own clock; 0: not known.
    std::uint64_t started_ms{0};
    /// Revision of the platform's store in which the registration was created.
    std::uint64_t created{0};

    friend auto operator<=>(const registration&, const registration&) = default;
};

/// \returns false when both processes are known and differ
[[nodiscard]] inline bool may_be_same_process(const registration& one, const registration& other) {
    return one.started_ms == 0 || other.started_ms == 0 || one.started_ms == other.started_ms;
}

/// \brief One back-end process of a service.
struct target {
    target_id id;
    endpoint address;
    domain_name domain;
    std::uint32_t slots{1};     ///< requests that the target can run at the same time
    milliseconds cold_start{0}; ///< time after a start during which slow answers are normal
    registration registered;    ///< of the process at the address

    friend bool operator==(const target&, const target&) = default;
};

} // namespace wigeonrill::config

#endif
