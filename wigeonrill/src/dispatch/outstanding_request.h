#ifndef WIGEONRILL_DISPATCH_OUTSTANDING_REQUEST_H
#define WIGEONRILL_DISPATCH_OUTSTANDING_REQUEST_H

#ifndef WIGEONRILL_DISPATCH_MODULE
#error "Include wigeonrill/dispatch.h instead of this file."
#endif

namespace wigeonrill::dispatch {

/// \brief A request that was sent to a target and has no answer yet.
struct outstanding_request {
    service_name service;
    target_id target;
    route_name route;
    instant sent{}; ///< its age is the difference to the present time
    std::uint64_t fingerprint{0};
    std::uint64_t request{0}; ///< id of the request
};

} // namespace wigeonrill::dispatch

#endif
