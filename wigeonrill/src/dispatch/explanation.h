#ifndef WIGEONRILL_DISPATCH_EXPLANATION_H
#define WIGEONRILL_DISPATCH_EXPLANATION_H

#ifndef WIGEONRILL_DISPATCH_MODULE
#error "Include wigeonrill/dispatch.h instead of this file."
#endif

namespace wigeonrill::dispatch {

/// \brief Request whose handling is to be explained. It is not sent.
struct explained_request {
    std::string method;
    std::string host;                      ///< without the port
    std::string path;                      ///< without the query
    std::string workspace;                 ///< empty: none
    std::uint64_t body_bytes{0};           ///< size of the body
    std::optional<milliseconds> time_left; ///< the caller's deadline; nothing: none
};

/// \brief What happens to a request of a service now.
enum class service_decision : std::uint8_t {
    sent,   ///< it is sent to a target at once
    waits,  ///< it waits for a target, or is refused if the wait would be too long
    refused ///< it is refused at once
};

/// \brief Names of the decisions in the explanation of a request.
inline constexpr enum_name_table<service_decision, 3> service_decision_names{{
    {service_decision::sent, "sent"},
    {service_decision::waits, "waits"},
    {service_decision::refused, "refused"},
}};

/// \brief One of the services among which the requests of a route are divided.
struct service_explanation {
    service_name name;
    double share{1.0}; ///< of the route's requests
    service_decision decision{service_decision::refused};
    std::size_t waiting{0};        ///< requests in this node's queue
    nanoseconds estimated_wait{0}; ///< of a request that joins the queue now; 0: not measured
    std::vector<target_explanation> targets; ///< all that are configured
};

/// \brief Where a request would go now, and why.
struct explanation {
    std::optional<refusal_kind> refusal; ///< of all requests like this one; nothing: not known
    std::optional<config::route> route;  ///< nothing: no route matches
    bool is_body_too_large{false};       ///< it is refused because of the route's limit
    std::optional<config::workspace> workspace; ///< nothing: the configuration has none so named
    milliseconds time_left{0}; ///< the caller's deadline or the route's limit, whichever is earlier
    bool is_cut_off{false};    ///< this node reaches no target, and other nodes get its requests
    std::vector<service_explanation> services; ///< empty if the request is refused
};

} // namespace wigeonrill::dispatch

#endif
