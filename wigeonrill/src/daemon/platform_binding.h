#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead."
#endif

#ifndef WIGEONRILL_DAEMON_PLATFORM_BINDING_H
#define WIGEONRILL_DAEMON_PLATFORM_BINDING_H

namespace wigeonrill::daemon {

/// \brief Platform-specific parts of the daemon, for a platform that keeps targets and rules in a
///        store.
struct platform_binding {
    /// Creates a client of the store at an address.
    std::function<std::unique_ptr<platform::record_feed>(const endpoint& store,
                                                         const clock_source& clock)>
        open_store;
    /// Names of the HTTP header fields that the platform's callers and targets use.
    traffic::header_names headers;
    /// How the path prefixes of the platform's routes are compared with the paths of requests.
    routing::path_match path_matching{routing::path_match::segments};
};

} // namespace wigeonrill::daemon

#endif
