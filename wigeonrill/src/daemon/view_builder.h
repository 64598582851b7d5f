#ifndef WIGEONRILL_DAEMON_VIEW_BUILDER_H
#define WIGEONRILL_DAEMON_VIEW_BUILDER_H

#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead of this file."
#endif

namespace wigeonrill::daemon {

/// \brief Builds the routing view for traffic threads from the configuration and, for each service,
///        the targets and weights that the monitor plans.
[[nodiscard]] routing::view_ptr build_view(const config::snapshot_ptr& configuration,
                                           const health::monitor& monitor);

/// \brief Lists all targets with their health state and weight, for the administration port.
[[nodiscard]] std::vector<target_row> list_targets(const config::snapshot& configuration,
                                                   const health::monitor& monitor);

} // namespace wigeonrill::daemon

#endif
