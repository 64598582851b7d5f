#ifndef WIGEONRILL_BASE_ERROR_H
#define WIGEONRILL_BASE_ERROR_H

#ifndef WIGEONRILL_BASE_MODULE
#error "Include wigeonrill/base.h instead of this file."
#endif

namespace wigeonrill {

/// \brief Kind of an error; determines exit codes and HTTP status codes.
enum class error_kind : std::uint8_t {
    invalid_input, ///< a file, option or message has a wrong value
    not_found,     ///< the named object doesn't exist
    unavailable,   ///< a peer, target or service is currently unreachable
    timed_out,     ///< a deadline passed
    overloaded,    ///< a limited resource is fully used
    conflict,      ///< the state doesn't allow the operation
    internal       ///< a defect of this program
};

/// \brief Names of the error kinds.
inline constexpr enum_name_table<error_kind, 7> error_kind_names{{
    {error_kind::invalid_input, "invalid_input"},
    {error_kind::not_found, "not_found"},
    {error_kind::unavailable, "unavailable"},
    {error_kind::timed_out, "timed_out"},
    {error_kind::overloaded, "overloaded"},
    {error_kind::conflict, "conflict"},
    {error_kind::internal, "internal"},
}};

/// \brief Error with a suggestion for resolving it.
struct error {
    error_kind kind{error_kind::internal};
    std::string message; ///< what is wrong, and where (file, line, key)
    std::string remedy;  ///< what the user can do about it; may be empty

    friend bool operator==(const error&, const error&) = default;
};

/// \returns "message; remedy", or the message alone if there is no remedy
[[nodiscard]] std::string to_string(const error& failure);

/// \brief Result of an operation: a value or an error.
template <typename Value>
using result = tl::expected<Value, error>;

/// \brief Returns an error in the form that converts to a result of any type.
[[nodiscard]] inline tl::unexpected<error> failed(error_kind kind, std::string message,
                                                  std::string remedy) {
    return tl::unexpected<error>(error{kind, std::move(message), std::move(remedy)});
}

} // namespace wigeonrill

#endif
