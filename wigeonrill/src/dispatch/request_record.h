#ifndef WIGEONRILL_DISPATCH_REQUEST_RECORD_H
#define WIGEONRILL_DISPATCH_REQUEST_RECORD_H

#ifndef WIGEONRILL_DISPATCH_MODULE
#error "Include wigeonrill/dispatch.h instead of this file."
#endif

namespace wigeonrill::dispatch {

/// \brief State of one request from request_dispatcher::first_step() to finish_request().
struct request_record {
    traffic::request_info info;
    routing::view_ptr view;              ///< owns the configuration that `route` points into
    const config::route* route{nullptr}; ///< matched route; null: none yet
    const config::workspace* workspace{nullptr}; ///< owned by `view`; null: none is known
    bool is_authenticated{false};                ///< the caller's API key was checked
    bool waits_for_credit{false};                ///< a granter was asked for its credit
    bool has_credit{false};                      ///< it has used credit of its workspace
    service_name chosen_service;     ///< the route's service, or the one drawn from its split
    service_state* service{nullptr}; ///< state of the chosen service
    std::uint64_t fingerprint{0};    ///< for crash marks; see request_fingerprint()
    instant deadline{};              ///< earlier of the caller's deadline and the route's limit

    /// Target whose concurrency limit counts this request; null: none.
    target_record_ptr assigned_target;
    std::vector<target_id> tried_targets; ///< targets that shed or failed this request
    std::uint32_t attempts{0};            ///< number of sends, to targets or to the key owner
    /// Number of attempts that a target may have run, but that gave no answer to pass on.
    std::uint32_t inconclusive_attempts{0};
    std::optional<once::dedup_key> key; ///< key that the request holds or waits for
    bool holds_key{false};              ///< this request is the only one that may run the key
    bool waits_for_key{false};          ///< another request holds the key; this one waits for it
    bool forwarding{false};             ///< the current step sends the request to another node
    bool relaying{false}; ///< the current step passes it to a node that reaches targets
    endpoint relay;       ///< that node; set when relaying
    std::vector<endpoint> tried_relays; ///< nodes that the request was passed to without an answer
    std::uint32_t failed_connects{0};   ///< targets to which no connection could be made
    endpoint key_owner;                 ///< node that owns the key; set when forwarding
    std::optional<clock_reading> decided_at; ///< when poll() handed out the current step
    std::optional<instant> sent;             ///< when may_send() allowed the current attempt
    bool answer_started{false};      ///< the target's answer is being passed on to the caller
    bool is_overdue{false};          ///< the current attempt was already reported as late
    bool unpublished_success{false}; ///< success to be published with the next request count
    std::string reason{"first"};     ///< reason for the next decision, for its log line

    std::optional<instant> queued_since;     ///< since when the request is in the queue
    instant not_before{instant::min()};      ///< earliest time of the next attempt
    std::optional<traffic::step> ready_step; ///< decided step that poll() has not returned yet
};

/// \returns true when the route requires that the request runs at most once
[[nodiscard]] inline bool at_most_once(const request_record& record) {
    return record.route != nullptr && record.route->repeat == config::repeat_policy::at_most_once;
}

/// \returns the priority of a request, 0 for the most urgent: its workspace's or else its route's
[[nodiscard]] inline std::uint32_t priority_of(const request_record& record) {
    const auto of_route = record.route != nullptr ? record.route->priority : 0;
    return record.workspace != nullptr ? record.workspace->priority.value_or(of_route) : of_route;
}

/// \brief Computes a hash over a request's method, host, path, query, workspace, key and body.
/// \param key idempotency key to include; empty when the key itself is compared separately
/// \returns a value that is equal for repetitions of the same request
[[nodiscard]] std::uint64_t request_fingerprint(const traffic::request_info& info,
                                                std::string_view key);

} // namespace wigeonrill::dispatch

#endif
