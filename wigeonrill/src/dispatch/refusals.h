#ifndef WIGEONRILL_DISPATCH_REFUSALS_H
#define WIGEONRILL_DISPATCH_REFUSALS_H

#ifndef WIGEONRILL_DISPATCH_MODULE
#error "Include wigeonrill/dispatch.h instead of this file."
#endif

namespace wigeonrill::dispatch {

/// \brief Reasons for which this module refuses a request.
enum class refusal_kind : std::uint8_t {
    not_ready,           ///< the node has no configuration yet
    stopping,            ///< the node stops
    bad_path,            ///< the path can't be compared with routes
    no_route,            ///< no route has the host and path
    method_not_allowed,  ///< a route has the host and path, but not the method
    workspace_allowance, ///< the workspace used up its allowance on this node
    no_target,           ///< no target of the service may get work
    queue_full,          ///< the bounded queue is full
    overloaded,          ///< the expected wait passes the deadline
    deadline_passed,     ///< the deadline came before a target got a byte
    shed,                ///< targets refused the request for lack of capacity
    unreachable,         ///< no connection to a target
    target_lost,         ///< the connection ended with the request in flight
    target_silent,       ///< no answer within the limit
    bad_answer,          ///< the answer was not valid or not whole
    contained            ///< the request crashed targets
};

/// \brief Builds a refusal with status, type, title and the action open to the caller.
/// \param kind reason
/// \param result what is known about the request
/// \param retry_after shortest time until a later attempt can succeed, if it can
[[nodiscard]] traffic::refusal make_refusal(refusal_kind kind, traffic::outcome result,
                                            std::optional<seconds> retry_after = std::nullopt);

} // namespace wigeonrill::dispatch

#endif
