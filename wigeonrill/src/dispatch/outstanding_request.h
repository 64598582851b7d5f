#ifndef WIGEONRILL_DISPATCH_OUTSTANDING_REQUEST_H
#define WIGEONRILL_DISPATCH_OUTSTANDING_REQUEST_H

#ifndef WIGEONRILL_DISPATCH_MODULE
#error "Include wigeonrill/dispatch.h instead of this file."
#endif

namespace wigeonrill::dispatch {

/// \brief A request that was sent to a target and has not been answered yet.
struct outstanding_request {
    service_name service;
    target_id target;
    route_name route;
    instant sent{}; ///< when the current attempt was allowed to write, monotonic clock
    std::uint64_t fingerprint{0}; ///< see request_fingerprint()
    std::uint64_t request{0};     ///< id of the request, unique in this process
};

} // namespace wigeonrill::dispatch

#endif
