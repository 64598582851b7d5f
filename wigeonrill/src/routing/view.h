#ifndef WIGEONRILL_ROUTING_VIEW_H
#define WIGEONRILL_ROUTING_VIEW_H

#ifndef WIGEONRILL_ROUTING_MODULE
#error "Include wigeonrill/routing.h instead of this file."
#endif

namespace wigeonrill::routing {

/// \brief A target that may get requests, with its weight.
struct eligible_target {
    const config::target* target{nullptr}; ///< owned by the view's snapshot
    double weight{1.0};     ///< 1: full share; below 1 while warming up, or when only
                            ///< kept to hold the minimum share of targets in use
    std::uint32_t index{0}; ///< index in the service's target list
};

/// \brief The eligible targets of one service.
struct service_view {
    const config::service* service{nullptr}; ///< owned by the view's snapshot
    std::vector<eligible_target> eligible;
};

/// \brief Configuration and eligible targets that traffic threads use to place requests. Immutable;
///        the control thread publishes a new view after each change.
struct view {
    config::snapshot_ptr configuration; ///< owns the services and targets
    std::vector<service_view> services; ///< in the order of the snapshot's services
};

/// \brief Shared ownership of an immutable view.
using view_ptr = std::shared_ptr<const view>;

} // namespace wigeonrill::routing

#endif
