#ifndef WIGEONRILL_CONFIG_ROUTE_H
#define WIGEONRILL_CONFIG_ROUTE_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief Whether a request may run more than once.
enum class repeat_policy : std::uint8_t { idempotent, at_most_once };

/// \brief Names of the repeat policies in the rules file.
inline constexpr enum_name_table<repeat_policy, 2> repeat_policy_names{{
    {repeat_policy::idempotent, "idempotent"},
    {repeat_policy::at_most_once, "at_most_once"},
}};

/// \brief Whether an at-most-once request must carry an Idempotency-Key.
enum class key_policy : std::uint8_t { required, optional };

/// \brief Names of the key policies in the rules file.
inline constexpr enum_name_table<key_policy, 2> key_policy_names{{
    {key_policy::required, "required"},
    {key_policy::optional, "optional"},
}};

/// \brief Time limits of one request.
struct time_limits {
    milliseconds total{30'000};     ///< from the request's head until the answer's head
    milliseconds first_byte{5'000}; ///< silence allowed after sending; then the connection is dead
    milliseconds body_idle{15'000}; ///< silence allowed between two pieces of a body

    friend bool operator==(const time_limits&, const time_limits&) = default;
};

/// \brief Share of a route's requests that goes to one service.
struct weighted_service {
    service_name service;
    std::uint32_t weight{1}; ///< in proportion to the sum over the route

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/// \brief Maps requests to a service and states how they may be treated.
struct route {
    route_name name;
    service_name service;             ///< the first one of a split
    std::string host;                 ///< empty: any host
    std::vector<std::string> methods; ///< empty: any method
    std::string path_prefix{"/"};     ///< matches whole path segments
    repeat_policy repeat{repeat_policy::idempotent};
    key_policy key{key_policy::required};
    bool hedge{false}; ///< a second copy may be sent when the first is slow
    std::uint64_t max_body_bytes{10'485'760};
    time_limits limits;
    std::uint32_t attempts{0};      ///< most targets that one request may reach; 0: no own limit
    std::uint32_t priority{0};      ///< rank of the requests, 0 is the most urgent
    milliseconds target_latency{0}; ///< an answer within it has its full worth; 0: not stated
    std::vector<weighted_service> split; ///< services that share the requests; empty: one service

    friend bool operator==(const route&, const route&) = default;
};

} // namespace wigeonrill::config

#endif
