#ifndef WIGEONRILL_CONFIG_VALUE_RULES_H
#define WIGEONRILL_CONFIG_VALUE_RULES_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

inline constexpr const char* name_remedy = "use 1 to 64 letters, digits, '.', '_' or '-'";
inline constexpr std::uint64_t max_slots = 65'535; ///< of one target

/// \returns whether a text can be the name of a service, target, failure domain, route or workspace
[[nodiscard]] bool is_valid_name(const std::string& text);

/// \returns an IP address in canonical form, so that different spellings of it compare equal;
///          nothing if the text is no IP address
[[nodiscard]] std::optional<std::string> canonical_ip(const std::string& ip);

/// \brief Checks a target that doesn't come from a configuration document.
/// \returns the first value that a configuration may not contain
[[nodiscard]] std::optional<error> find_error(const target& it);

} // namespace wigeonrill::config

#endif
