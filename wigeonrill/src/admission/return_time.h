#ifndef WIGEONRILL_ADMISSION_RETURN_TIME_H
#define WIGEONRILL_ADMISSION_RETURN_TIME_H

#ifndef WIGEONRILL_ADMISSION_MODULE
#error "Include wigeonrill/admission.h instead of this file."
#endif

namespace wigeonrill::admission {

/// Least and greatest time after which a refused caller is asked to return.
inline constexpr milliseconds min_return_time{100};
inline constexpr milliseconds max_return_time{30'000};

/// \brief Spreads the return of refused callers at random.
///
/// Load pattern: callers that were refused together return together, and are refused again.
/// \param wait time until room is expected
/// \param draw random number, uniform in [0, 1)
/// \returns a time between `wait` and twice that, within min_return_time and max_return_time
[[nodiscard]] milliseconds return_time(nanoseconds wait, double draw);

} // namespace wigeonrill::admission

#endif
