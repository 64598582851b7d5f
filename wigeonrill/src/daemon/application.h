#ifndef WIGEONRILL_DAEMON_APPLICATION_H
#define WIGEONRILL_DAEMON_APPLICATION_H

#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead of this file."
#endif

namespace wigeonrill::daemon {

/// \brief Exit codes of the daemon, documented in docs/reference/settings.md.
enum class exit_code : std::uint8_t {
    success = 0,  ///< planned stop; every request finished
    settings = 2, ///< wrong command line or settings file
    start = 3,    ///< an address can't be bound or the configuration file is invalid
    forced = 4,   ///< requests were cut by the limit finish_within or a second SIGINT
};

/// \brief Runs the daemon until it is told to stop.
/// \param argc number of arguments, with the program's name
/// \param argv arguments
/// \param binding the platform whose store the settings may name
/// \returns the process's exit code, see exit_code
[[nodiscard]] int run(int argc, const char* const* argv, const platform_binding& binding);

} // namespace wigeonrill::daemon

#endif
