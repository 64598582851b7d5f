#ifndef WIGEONRILL_CONFIG_ROUTE_H
#define WIGEONRILL_CONFIG_ROUTE_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief Whether a request may run more than once.
enum class repeat_policy : std::uint8_t { idempotent, at_most_once };

/// \brief Names of the repeat policies in the configuration document.
inline constexpr enum_name_table<repeat_policy, 2> repeat_policy_names{{
    {repeat_policy::idempotent, "idempotent"},
    {repeat_policy::at_most_once, "at_most_once"},
}};

/// \brief Whether an at-most-once request must carry an Idempotency-Key.
enum class key_policy : std::uint8_t { required, optional };

/// \brief Names of the key policies in the configuration document.
inline constexpr enum_name_table<key_policy, 2> key_policy_names{{
    {key_policy::required, "required"},
    {key_policy::optional, "optional"},
}};

/// \brief Time limits of one request.
struct time_limits {
    milliseconds total{30'000};     ///< from the head of the request to the head of the answer
    milliseconds first_byte{5'000}; ///< longest wait for the first byte of the answer after the
                                    ///< request was sent; then the connection is considered dead
    milliseconds body_idle{15'000}; ///< longest pause between two pieces of a body

    friend bool operator==(const time_limits&, const time_limits&) = default;
};

/// \brief One of several services that share the requests of a route.
struct weighted_service {
    service_name service;
    std::uint32_t weight{1}; ///< its share is this divided by the sum of weights of the route

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/// \brief Maps requests to a service, and defines their limits and policies.
struct route {
    route_name name;
    service_name service; ///< service of the requests; the first one if there is a split
    std::string host;     ///< empty: any host
    std::vector<std::string> methods; ///< empty: any method
    std::string path_prefix{"/"};     ///< only matches whole path segments
    repeat_policy repeat{repeat_policy::idempotent};
    key_policy key{key_policy::required}; ///< used if repeat is at_most_once
    bool hedge{false};                    ///< a slow request may be sent to a second target as well
    std::uint64_t max_body_bytes{10'485'760};
    time_limits limits;
    std::uint32_t attempts{0};      ///< most targets that one request may be sent to; 0: no limit
    std::uint32_t priority{0};      ///< priority of the requests; 0 is the most urgent
    milliseconds target_latency{0}; ///< time within which an answer should arrive; 0: not stated
    bool needs_api_key{true};       ///< false: callers without an API key are served, too
    std::vector<weighted_service> split; ///< services that share the requests; empty: one service

    friend bool operator==(const route&, const route&) = default;
};

} // namespace wigeonrill::config

#endif
