#ifndef WIGEONRILL_DISPATCH_REFUSALS_H
#define WIGEONRILL_DISPATCH_REFUSALS_H

#ifndef WIGEONRILL_DISPATCH_MODULE
#error "Include wigeonrill/dispatch.h instead of this file."
#endif

namespace wigeonrill::dispatch {

/// \brief Reasons for which this module refuses a request.
enum class refusal_kind : std::uint8_t {
    not_ready,             ///< the node has no configuration yet
    stopping,              ///< the node stops
    bad_path,              ///< the path can't be compared with routes
    no_route,              ///< no route has the host and path
    method_not_allowed,    ///< a route has the host and path, but not the method
    workspace_allowance,   ///< the workspace used up its allowance on this node
    no_target,             ///< no target of the service may get work
    queue_full,            ///< the bounded queue is full
    overloaded,            ///< the expected wait passes the deadline
    deadline_passed,       ///< the deadline came before a target got a byte
    shed,                  ///< targets refused the request for lack of capacity
    unreachable,           ///< no connection to a target
    target_lost,           ///< the connection ended with the request in flight
    target_silent,         ///< no answer within the limit
    bad_answer,            ///< the answer was not valid or not whole
    contained,             ///< the request crashed targets
    key_required,          ///< the route needs a key
    key_invalid,           ///< the key can't be parsed
    key_never_issued,      ///< an issued key that this process did not issue
    key_reused,            ///< the key belongs to another request
    key_in_progress,       ///< another request with the key still runs
    key_refused,           ///< the request waited for one that was refused
    key_unknown,           ///< a target may have run the key
    answer_not_kept,       ///< the key was answered, but the answer is not kept
    dedup_full,            ///< no room for a new key
    key_process_gone,      ///< the issuing process is gone
    key_too_old,           ///< older than the window
    key_from_future,       ///< created ahead of the clock
    key_before_start,      ///< a predecessor may have run it
    key_owner_changed,     ///< a previous owner may have run it
    key_owner_unconfirmed, ///< the owner's configuration may be out of date
    key_no_owner,          ///< no owner is configured
    key_owner_disputed,    ///< two nodes disagree on the owner
    key_owner_unreachable  ///< no answer from the owner
};

/// \brief Builds a refusal with status, type, title and the action open to the caller.
/// \param kind reason
/// \param result what is known about the request
/// \param retry_after shortest time until a later attempt can succeed, if it can
[[nodiscard]] traffic::refusal make_refusal(refusal_kind kind, traffic::outcome result,
                                            std::optional<seconds> retry_after = std::nullopt);

} // namespace wigeonrill::dispatch

#endif
