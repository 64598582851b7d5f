#ifndef WIGEONRILL_DISPATCH_MOMENT_H
#define WIGEONRILL_DISPATCH_MOMENT_H

#ifndef WIGEONRILL_DISPATCH_MODULE
#error "Include wigeonrill/dispatch.h instead of this file."
#endif

namespace wigeonrill::dispatch {

/// \brief One reading of both clocks.
struct moment {
    instant now{};
    wall_time wall{};
};

/// \returns the present reading of a clock source
[[nodiscard]] inline moment read(const clock_source& clock) {
    return {clock.now(), clock.wall_now()};
}

} // namespace wigeonrill::dispatch

#endif
