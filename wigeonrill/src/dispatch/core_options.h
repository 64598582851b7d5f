#ifndef WIGEONRILL_DISPATCH_CORE_OPTIONS_H
#define WIGEONRILL_DISPATCH_CORE_OPTIONS_H

#ifndef WIGEONRILL_DISPATCH_MODULE
#error "Include wigeonrill/dispatch.h instead of this file."
#endif

namespace wigeonrill::dispatch {

/// \brief Times of a planned stop.
struct planned_stop {
    instant take_until; ///< new requests are taken up to here
    instant finish_by;  ///< requests that were taken must have ended by then

    /// Time that an answer needs to reach its caller before the node ends.
    static constexpr milliseconds final_answer_time{100};
};

/// \brief Connection to a target that is tried to learn whether this node reaches targets.
struct connection_check {
    service_name service;
    target_id target;
    endpoint address;
};

/// \brief Options of a decision_core.
struct core_options {
    /// \brief Creates the placement policy of one service.
    using policy_factory = std::function<std::unique_ptr<routing::placement_policy>()>;

    /// A shed request waits in the queue, instead of being refused, when the retry budget is used
    /// up.
    bool shed_may_wait{true};
    /// Turn away requests of less urgent priorities while the targets of a service are overloaded.
    bool gates_priorities{false};
    /// Publish to the nodes of the group how many requests this node has in each target.
    bool publish_outstanding{false};
    domain_name own_domain; ///< failure domain of this node; empty: unknown
    /// How the path prefixes of routes are compared with the paths of requests.
    routing::path_match path_matching{routing::path_match::segments};
    /// Policy of each service; by default two random choices.
    policy_factory make_policy{[] { return std::make_unique<routing::two_random_choices>(); }};
    /// Initial retry budget of each service.
    admission::retry_budget retries{admission::make_retry_budget()};
};

} // namespace wigeonrill::dispatch

#endif
