#ifndef WIGEONRILL_DISPATCH_DECISION_RECORD_H
#define WIGEONRILL_DISPATCH_DECISION_RECORD_H

#ifndef WIGEONRILL_DISPATCH_MODULE
#error "Include wigeonrill/dispatch.h instead of this file."
#endif

namespace wigeonrill::dispatch {

/// \brief One decision about a request, with all fields of its log line.
struct decision_record {
    std::uint64_t request{0}; ///< id of the request, unique in this process
    std::string name;         ///< request name sent by the caller; empty: none
    traffic::step_kind kind{traffic::step_kind::refuse};
    std::uint64_t configuration_version{0}; ///< version that was in force; 0: none
    std::string host;                       ///< host that the caller named, if no route matched
    std::string path;         ///< path that the caller named, if no route matched; may be shortened
    route_name route;         ///< empty: no route matched
    service_name service;     ///< empty: no route matched
    workspace_name workspace; ///< empty: none is known
    target_id target;         ///< chosen target, for send
    endpoint address;         ///< destination, for send and forward
    std::string refusal;      ///< type of the refusal, such as "queue-full"; for refuse
    traffic::outcome result{
        traffic::outcome::not_run}; ///< whether a target may have run it; for refuse
    /// Fingerprint of a request that is refused because of its crash marks; 0: another decision.
    std::uint64_t contained_fingerprint{0};
    std::uint32_t priority{0};   ///< of the request; 0 is the most urgent
    std::string reason;          ///< reason for the decision, such as "first" or "retry after shed"
    std::uint32_t candidates{0}; ///< targets below their concurrency limit that were compared
    std::uint32_t attempt{0};    ///< number of sends of this request, including this one
    nanoseconds waited{0};       ///< time that the request spent in the queue
};

} // namespace wigeonrill::dispatch

#endif
