#ifndef WIGEONRILL_ONCE_MAX_CLOCK_SKEW_H
#define WIGEONRILL_ONCE_MAX_CLOCK_SKEW_H

#ifndef WIGEONRILL_ONCE_MODULE
#error "Include wigeonrill/once.h instead of this file."
#endif

namespace wigeonrill::once {

/// \brief Largest difference between the wall clocks of any two nodes or callers at which requests
/// with a key still run at most once.
inline constexpr seconds max_clock_skew{2};

} // namespace wigeonrill::once

#endif
