#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead."
#endif

#ifndef WIGEONRILL_DAEMON_PLATFORM_BINDING_H
#define WIGEONRILL_DAEMON_PLATFORM_BINDING_H

namespace wigeonrill::daemon {

/// \brief How the daemon speaks to a platform that keeps targets and rules in a store.
struct platform_binding {
    /// Opens the store at an address.
    std::function<std::unique_ptr<platform::record_feed>(const endpoint& store,
                                                         const clock_source& clock)>
        open_store;
    /// Header fields of the platform's callers and targets.
    traffic::header_names headers;
};

} // namespace wigeonrill::daemon

#endif
