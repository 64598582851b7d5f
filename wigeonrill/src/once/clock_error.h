#ifndef WIGEONRILL_ONCE_CLOCK_ERROR_H
#define WIGEONRILL_ONCE_CLOCK_ERROR_H

#ifndef WIGEONRILL_ONCE_MODULE
#error "Include wigeonrill/once.h instead of this file."
#endif

namespace wigeonrill::once {

/// \brief Largest difference between two wall clocks of nodes and callers that the rules allow for.
inline constexpr seconds clock_error{2};

} // namespace wigeonrill::once

#endif
