#ifndef WIGEONRILL_ONCE_CRASH_MARK_H
#define WIGEONRILL_ONCE_CRASH_MARK_H

#ifndef WIGEONRILL_ONCE_MODULE
#error "Include wigeonrill/once.h instead of this file."
#endif

namespace wigeonrill::once {

/// \brief Record that a target crashed while it ran the request with this fingerprint.
struct crash_mark {
    std::uint64_t fingerprint{0};
    target_id target;
    wall_time observed{}; ///< when a node noticed the crash, by its own clock

    friend bool operator==(const crash_mark&, const crash_mark&) = default;
};

/// \returns a fingerprint as it is written to logs: 16 hexadecimal digits
[[nodiscard]] std::string fingerprint_text(std::uint64_t fingerprint);

} // namespace wigeonrill::once

#endif
