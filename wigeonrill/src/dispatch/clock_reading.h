#ifndef WIGEONRILL_DISPATCH_CLOCK_READING_H
#define WIGEONRILL_DISPATCH_CLOCK_READING_H

#ifndef WIGEONRILL_DISPATCH_MODULE
#error "Include wigeonrill/dispatch.h instead of this file."
#endif

namespace wigeonrill::dispatch {

/// \brief A simultaneous reading of the monotonic clock and the wall clock.
struct clock_reading {
    instant now{};    ///< monotonic clock, for deadlines and durations
    wall_time wall{}; ///< wall clock, for times that are compared with other nodes
};

/// \returns the current time on both clocks of a clock source
[[nodiscard]] inline clock_reading read_clocks(const clock_source& clock) {
    return {clock.now(), clock.wall_now()};
}

} // namespace wigeonrill::dispatch

#endif
