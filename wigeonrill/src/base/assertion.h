#ifndef WIGEONRILL_BASE_ASSERTION_H
#define WIGEONRILL_BASE_ASSERTION_H

#ifndef WIGEONRILL_BASE_MODULE
#error "Include wigeonrill/base.h instead of this file."
#endif

/// \brief Aborts the process with a message if a precondition or invariant is violated.
/// \param condition expression that must hold
/// \param message what the caller of the function did wrong
#define WIGEONRILL_ASSERT(condition, message)                                                      \
    (static_cast<bool>(condition)                                                                  \
         ? static_cast<void>(0)                                                                    \
         : ::wigeonrill::detail::assertion_failed(#condition, message, __FILE__, __LINE__))

namespace wigeonrill::detail {

[[noreturn]] void assertion_failed(const char* condition, const char* message, const char* file,
                                   int line) noexcept;

} // namespace wigeonrill::detail

#endif
