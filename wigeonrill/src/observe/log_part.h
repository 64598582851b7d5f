#ifndef WIGEONRILL_OBSERVE_LOG_PART_H
#define WIGEONRILL_OBSERVE_LOG_PART_H

#ifndef WIGEONRILL_OBSERVE_MODULE
#error "Include wigeonrill/observe.h instead of this file."
#endif

namespace wigeonrill::observe {

/// \brief Part of the program that writes a log line; its name is the line's prefix.
enum class log_part : std::uint8_t {
    config,
    health,
    route,
    once,
    peers,
    platform,
    traffic,
    daemon
};

/// \brief Prefixes of the log lines.
inline constexpr enum_name_table<log_part, 8> log_part_names{{
    {log_part::config, "config"},
    {log_part::health, "health"},
    {log_part::route, "route"},
    {log_part::once, "once"},
    {log_part::peers, "peers"},
    {log_part::platform, "platform"},
    {log_part::traffic, "traffic"},
    {log_part::daemon, "daemon"},
}};

/// \brief Removes the part's prefix from a line that already has it; the sink writes it itself.
[[nodiscard]] constexpr std::string_view without_prefix(std::string_view line, log_part part) {
    const auto name = enum_name(log_part_names, part);
    const bool has_prefix = line.starts_with(name) && line.substr(name.size()).starts_with(": ");
    return has_prefix ? line.substr(name.size() + 2) : line;
}

/// \brief Importance of a log line.
enum class log_level : std::uint8_t { debug, info, warning, error };

/// \brief Names of the levels in the settings file.
inline constexpr enum_name_table<log_level, 4> log_level_names{{
    {log_level::debug, "debug"},
    {log_level::info, "info"},
    {log_level::warning, "warning"},
    {log_level::error, "error"},
}};

} // namespace wigeonrill::observe

#endif
