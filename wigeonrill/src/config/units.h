#ifndef WIGEONRILL_CONFIG_UNITS_H
#define WIGEONRILL_CONFIG_UNITS_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief Parses a duration with a unit: "250ms", "5s", "2.5s", "10m" or "6h".
/// \returns the duration, or an invalid_input error; a sign, a missing unit, and decimals in any
///          unit other than seconds are errors
[[nodiscard]] result<milliseconds> parse_duration(std::string_view text);

/// \brief Parses a size with a unit: "512B", "64KiB", "10MiB", "1GiB", or decimal "64kB", "10MB",
/// "1GB".
/// \returns the number of bytes, or an invalid_input error
[[nodiscard]] result<std::uint64_t> parse_size(std::string_view text);

/// \brief Parses a time in the format of RFC 3339, such as "2026-03-01T08:30:00Z" or
/// "2026-03-01T16:30:00+08:00".
/// \returns the time, truncated to milliseconds, or an invalid_input error
[[nodiscard]] result<wall_time> parse_time(std::string_view text);

/// \returns the time in the format of RFC 3339, in UTC with milliseconds
[[nodiscard]] std::string format_time(wall_time time);

} // namespace wigeonrill::config

#endif
