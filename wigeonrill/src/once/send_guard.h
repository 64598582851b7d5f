#ifndef WIGEONRILL_ONCE_SEND_GUARD_H
#define WIGEONRILL_ONCE_SEND_GUARD_H

#ifndef WIGEONRILL_ONCE_MODULE
#error "Include wigeonrill/once.h instead of this file."
#endif

namespace wigeonrill::once {

/// \brief Checks directly before the first byte is written whether a request may still be sent.
struct send_guard {
    instant chosen_at{};        ///< when the target was chosen
    wall_time chosen_at_wall{}; ///< the same time on the wall clock
    instant deadline{};         ///< deadline of the request

    /// \brief Compares both clocks with the deadline.
    ///
    /// The monotonic clock doesn't advance while the VM is suspended, so a suspension is visible on
    /// the wall clock only. A difference of 1 s is allowed for steps of time synchronization.
    /// \returns whether the request may be sent
    [[nodiscard]] bool may_send(instant now, wall_time wall) const {
        constexpr seconds step_tolerance{1};
        return now < deadline && wall - chosen_at_wall <= deadline - chosen_at + step_tolerance;
    }
};

} // namespace wigeonrill::once

#endif
