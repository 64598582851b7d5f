#ifndef WIGEONRILL_ADMISSION_URGENCY_H
#define WIGEONRILL_ADMISSION_URGENCY_H

#ifndef WIGEONRILL_ADMISSION_MODULE
#error "Include wigeonrill/admission.h instead of this file."
#endif

namespace wigeonrill::admission {

/// \brief What decides the place of a waiting request.
struct urgency {
    std::uint32_t priority{0}; ///< 0 is the most urgent
    instant arrived{};
    instant target_by{}; ///< end of the target latency; the deadline when the route states none
    instant deadline{};
    expected_work work; ///< of its route

    /// \returns the latest time at which it can be sent and probably still be answered within its
    ///          target latency
    [[nodiscard]] instant timely_until() const { return std::min(target_by, deadline) - work.mean; }
    /// \returns the latest time at which it can be sent and probably still be answered at all
    [[nodiscard]] instant useful_until() const { return deadline - work.mean; }
};

} // namespace wigeonrill::admission

#endif
