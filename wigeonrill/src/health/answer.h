#ifndef WIGEONRILL_HEALTH_ANSWER_H
#define WIGEONRILL_HEALTH_ANSWER_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief How one attempt at a target ended.
enum class answer_kind : std::uint8_t {
    ok,              ///< a complete answer with a status below 500
    server_error,    ///< a complete answer with status 500 or above that is not a shed
    shed,            ///< the target refused the request for lack of capacity
    connect_failed,  ///< no connection was made, so the target received no byte
    connection_lost, ///< the connection closed while the request was in flight
    malformed,       ///< the bytes received are not a valid, complete answer
    silent,          ///< no byte arrived within the route's first_byte limit
    cancelled        ///< the caller disconnected or the proxy gave up; says nothing about the
                     ///< target
};

/// \brief Names of the answer kinds in logs, metrics and traces.
inline constexpr enum_name_table<answer_kind, 8> answer_kind_names{{
    {answer_kind::ok, "ok"},
    {answer_kind::server_error, "server_error"},
    {answer_kind::shed, "shed"},
    {answer_kind::connect_failed, "connect_failed"},
    {answer_kind::connection_lost, "connection_lost"},
    {answer_kind::malformed, "malformed"},
    {answer_kind::silent, "silent"},
    {answer_kind::cancelled, "cancelled"},
}};

/// \brief What the head of an answer states about the requests that its target takes.
struct rate_limit_statement {
    /// Requests per second that the target takes from all nodes together; nothing: no limit.
    std::optional<double> per_second;
    /// The field is there but holds no limit, so the answer states nothing.
    bool is_unreadable{false};

    friend bool operator==(const rate_limit_statement&, const rate_limit_statement&) = default;
};

/// \brief A finished attempt at a target, as the traffic threads report it to the control thread.
struct answer {
    service_name service;
    target_id target;
    route_name route;
    instant sent{};  ///< when the first byte of the request was written
    instant ended{}; ///< when the head of the answer arrived, or the attempt failed
    answer_kind kind{answer_kind::ok};
    bool draining{false};           ///< the answer carried Target-Draining: 1
    std::int32_t reported_load{-1}; ///< requests in the target by its Target-Load header, -1:
                                    ///< no header
    rate_limit_statement rate_limit;
    nanoseconds pause{0};         ///< time from `ended` in which the target takes no requests of
                                  ///< this node
    std::uint64_t fingerprint{0}; ///< fingerprint of the request, 0: none
    std::uint64_t request{0};     ///< id passed to monitor::on_outstanding(), 0: none
    /// Process of the target to which the request was sent.
    config::registration target_process;
};

} // namespace wigeonrill::health

#endif
