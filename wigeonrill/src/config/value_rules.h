#ifndef WIGEONRILL_CONFIG_VALUE_RULES_H
#define WIGEONRILL_CONFIG_VALUE_RULES_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

inline constexpr const char* name_remedy = "use 1 to 64 letters, digits, '.', '_' or '-'";
inline constexpr const char* foreign_name_remedy =
    "use 1 to 255 bytes without control characters and without spaces at begin and end";
inline constexpr std::uint64_t max_slots = 65'535; ///< of one target

inline constexpr std::size_t max_foreign_name_bytes = 255;   ///< messages between nodes carry them
inline constexpr std::uint64_t max_body_limit = 1ULL << 40U; ///< of a route, bytes
inline constexpr std::uint64_t max_attempts = 100;           ///< of a request
inline constexpr std::uint64_t max_priority = 1'000;         ///< of a route or workspace
inline constexpr std::uint64_t max_weight = 1'000'000'000;   ///< of a service in a split
inline constexpr double max_requests_per_second = 1e7;       ///< of a workspace; also its burst
inline constexpr milliseconds max_duration = std::chrono::hours(24);

/// \brief Which texts can be names, hosts and path prefixes in a configuration.
enum class name_rule : std::uint8_t {
    own,    ///< is_valid_name(), lower-case hosts and ASCII paths, for documents of our own format
    foreign ///< is_foreign_name(), for content that was made from the records of another system
};

/// \returns whether a text can be the name of a service, target, failure domain, route or workspace
///          in a document of our own format
[[nodiscard]] bool is_valid_name(const std::string& text);

/// \returns whether a text can be such a name in another system: not empty, at most
///          `max_foreign_name_bytes` long, without control characters, and with no space at its
///          begin or end, so that it can stand in a header field
[[nodiscard]] bool is_foreign_name(const std::string& text);

/// \returns whether a text can be a name by a rule
[[nodiscard]] bool is_name(const std::string& text, name_rule rule);

/// \returns an IP address in canonical form, so that different spellings of it compare equal;
///          nothing if the text is no IP address
[[nodiscard]] std::optional<std::string> canonical_ip(const std::string& ip);

/// \brief Checks a target that doesn't come from a configuration document, by name_rule::foreign.
/// \returns the first value that a configuration may not contain
[[nodiscard]] std::optional<error> find_error(const target& it);

} // namespace wigeonrill::config

#endif
