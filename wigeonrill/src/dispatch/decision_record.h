#ifndef WIGEONRILL_DISPATCH_DECISION_RECORD_H
#define WIGEONRILL_DISPATCH_DECISION_RECORD_H

#ifndef WIGEONRILL_DISPATCH_MODULE
#error "Include wigeonrill/dispatch.h instead of this file."
#endif

namespace wigeonrill::dispatch {

/// \brief One decision on a request, with what its log line needs.
struct decision_record {
    std::uint64_t request{0};
    std::string name; ///< the caller's name of the request; empty: none
    traffic::step_kind kind{traffic::step_kind::refuse};
    route_name route;                                   ///< empty: no route matched
    service_name service;                               ///< empty: no route matched
    target_id target;                                   ///< for send
    endpoint address;                                   ///< for send and forward
    std::string refusal;                                ///< type of the refusal, for refuse
    traffic::outcome result{traffic::outcome::not_run}; ///< for refuse
    std::string reason;          ///< why, such as "first" or "retry after shed"
    std::uint32_t candidates{0}; ///< targets with a free place that were considered
    std::uint32_t attempt{0};    ///< sends of this request, with this one
    nanoseconds waited{0};       ///< time in the queue
};

} // namespace wigeonrill::dispatch

#endif
