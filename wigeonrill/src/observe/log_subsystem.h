#ifndef WIGEONRILL_OBSERVE_LOG_SUBSYSTEM_H
#define WIGEONRILL_OBSERVE_LOG_SUBSYSTEM_H

#ifndef WIGEONRILL_OBSERVE_MODULE
#error "Include wigeonrill/observe.h instead of this file."
#endif

namespace wigeonrill::observe {

/// \brief Subsystem of the daemon that writes a log line. Its name is the prefix of the line.
enum class log_subsystem : std::uint8_t {
    config,
    health,
    route,
    once,
    peers,
    platform,
    traffic,
    daemon
};

/// \brief Names of the subsystems, as log lines have them in their prefix.
inline constexpr enum_name_table<log_subsystem, 8> log_subsystem_names{{
    {log_subsystem::config, "config"},
    {log_subsystem::health, "health"},
    {log_subsystem::route, "route"},
    {log_subsystem::once, "once"},
    {log_subsystem::peers, "peers"},
    {log_subsystem::platform, "platform"},
    {log_subsystem::traffic, "traffic"},
    {log_subsystem::daemon, "daemon"},
}};

/// \brief Removes the prefix of a subsystem, such as "health: ", from a line that has it, because
///        the sink adds the prefix.
/// \returns the rest of the line, or the whole line if it does not have the prefix
[[nodiscard]] constexpr std::string_view without_prefix(std::string_view line,
                                                        log_subsystem subsystem) {
    const auto name = enum_name(log_subsystem_names, subsystem);
    const bool has_prefix = line.starts_with(name) && line.substr(name.size()).starts_with(": ");
    return has_prefix ? line.substr(name.size() + 2) : line;
}

/// \brief Severity of a log line, lowest first.
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
