#ifndef WIGEONRILL_CONFIG_WORKSPACE_H
#define WIGEONRILL_CONFIG_WORKSPACE_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief A group of callers that share API keys and one rate limit.
struct workspace {
    workspace_name name;
    std::vector<key_digest> keys; ///< API keys of its callers, sorted
    /// Priority of its requests, 0 is the most urgent; takes precedence over that of the route.
    std::optional<std::uint32_t> priority;
    double requests_per_second{0.0}; ///< rate limit over all nodes together; 0: no limit
    double burst{0.0}; ///< requests beyond the rate that may come at once; 0: those of one second

    friend bool operator==(const workspace&, const workspace&) = default;
};

/// \brief Whether callers must prove which workspace they belong to.
enum class caller_authentication : std::uint8_t {
    none,   ///< the caller names its workspace, and is believed
    api_key ///< the workspace is the one that holds the caller's API key
};

/// \brief Names of the kinds of authentication in the configuration document.
inline constexpr enum_name_table<caller_authentication, 2> caller_authentication_names{{
    {caller_authentication::none, "none"},
    {caller_authentication::api_key, "api_key"},
}};

} // namespace wigeonrill::config

#endif
