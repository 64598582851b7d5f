#ifndef WIGEONRILL_ONCE_SEND_GUARD_H
#define WIGEONRILL_ONCE_SEND_GUARD_H

#ifndef WIGEONRILL_ONCE_MODULE
#error "Include wigeonrill/once.h instead of this file."
#endif

namespace wigeonrill::once {

/// \brief Decides directly before the first byte whether a chosen request may still be sent.
struct send_guard {
    instant chosen{};        ///< when the target was chosen
    wall_time chosen_wall{}; ///< the same on the wall clock
    instant deadline{};

    /// \brief Compares both clocks with the deadline.
    ///
    /// The monotonic clock stands still while a VM is suspended, so a pause shows on the wall clock
    /// only. 1 s of difference is left for steps of time synchronization.
    /// \returns true when the request may be sent
    [[nodiscard]] bool may_send(instant now, wall_time wall) const {
        constexpr seconds step_tolerance{1};
        return now < deadline && wall - chosen_wall <= deadline - chosen + step_tolerance;
    }
};

} // namespace wigeonrill::once

#endif
