#ifndef WIGEONRILL_BASE_ERROR_H
#define WIGEONRILL_BASE_ERROR_H

#ifndef WIGEONRILL_BASE_MODULE
#error "Include wigeonrill/base.h instead of this file."
#endif

namespace wigeonrill {

/// \brief Kind of an error; decides exit codes and HTTP status codes.
enum class error_kind : std::uint8_t {
    invalid_input, ///< a file, option or message has a wrong value
    not_found,     ///< the named thing does not exist
    unavailable,   ///< a peer, target or service can't be reached now
    timed_out,     ///< a deadline passed
    overloaded,    ///< a bounded resource is in full use
    conflict,      ///< the state doesn't allow the operation
    internal       ///< a fault of this program
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

/// \brief Error with the action that removes its cause.
struct error {
    error_kind kind{error_kind::internal};
    std::string message; ///< what is wrong, with the place (file, line, key)
    std::string remedy;  ///< what the reader can do about it

    friend bool operator==(const error&, const error&) = default;
};

/// \returns "message; remedy" for a log line or a terminal
[[nodiscard]] std::string to_string(const error& failure);

/// \brief A value or an error.
template <typename Value>
using result = tl::expected<Value, error>;

/// \brief Builds the error alternative of a result.
[[nodiscard]] inline tl::unexpected<error> failed(error_kind kind, std::string message,
                                                  std::string remedy) {
    return tl::unexpected<error>(error{kind, std::move(message), std::move(remedy)});
}

} // namespace wigeonrill

#endif
