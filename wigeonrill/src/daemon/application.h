#ifndef WIGEONRILL_DAEMON_APPLICATION_H
#define WIGEONRILL_DAEMON_APPLICATION_H

#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead of this file."
#endif

namespace wigeonrill::daemon {

/// \brief Exit codes of the daemon, documented in docs/reference/settings.md.
enum class exit_code : std::uint8_t {
    success = 0,          ///< graceful shutdown; every request finished
    invalid_settings = 2, ///< invalid command line or settings file
    start_failed = 3,     ///< an address can't be bound or the configuration file is invalid
    requests_aborted = 4, ///< requests were aborted after finish_within or by a second SIGINT
};

/// \brief Runs the daemon until it is asked to stop by a signal, by POST /drain or by a newer
///        process at its peer address.
/// \param argc number of arguments, including the program name
/// \param argv arguments
/// \param binding platform-specific parts, used when the settings name a store
/// \returns the exit code of the process, see exit_code
[[nodiscard]] int run(int argc, const char* const* argv, const platform_binding& binding);

} // namespace wigeonrill::daemon

#endif
