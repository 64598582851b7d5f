#ifndef WIGEONRILL_DAEMON_SETTINGS_H
#define WIGEONRILL_DAEMON_SETTINGS_H

#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead of this file."
#endif

namespace wigeonrill::daemon {

/// \brief Policies for choosing the target of a request.
enum class placement_kind : std::uint8_t {
    two_choices, ///< the less loaded of two random targets, as far as this node knows
    least_cost   ///< the target of least expected cost, with what other nodes report
};

/// \brief Names of the placement kinds in settings.
inline constexpr enum_name_table<placement_kind, 2> placement_kind_names{{
    {placement_kind::two_choices, "two_choices"},
    {placement_kind::least_cost, "least_cost"},
}};

/// \brief Settings of one daemon, read from its settings file. See docs/reference/settings.md.
struct settings {
    domain_name domain;           ///< failure domain of this node
    endpoint traffic;             ///< address for callers and for requests that other nodes forward
    std::optional<endpoint> peer; ///< UDP and TCP address for other nodes; none: no peers
    endpoint admin;               ///< address for health checks, metrics and the tool

    std::string configuration_file; ///< empty: the configuration comes from the platform
    std::vector<endpoint> platform; ///< servers of the platform's configuration service
    std::optional<endpoint> store;  ///< the platform's store of targets and rules, used instead
    platform::inventory_options inventory; ///< values that the store's records don't give
    /// Maximum of the random delay before the first call to the platform, which prevents all nodes
    /// from calling at once after a mass restart.
    milliseconds start_delay{30'000};

    std::vector<endpoint> seeds; ///< peers to contact before the list of VMs is known
    std::size_t max_nodes{quota::default_max_nodes}; ///< nodes that the fleet has at most
    std::string secret; ///< key that authenticates datagrams between nodes; empty: none

    std::uint32_t max_connections{1024};                   ///< open connections of callers
    std::uint32_t max_head_bytes{16'384};                  ///< size of a request head
    std::uint64_t max_body_bytes{std::uint64_t{1} << 30U}; ///< size of a request body
    /// memory that all requests share for bodies of more than 64 KiB
    std::uint64_t body_memory{std::uint64_t{8} << 20U};
    milliseconds head_time{10'000};   ///< limit for receiving a request head
    milliseconds body_idle{15'000};   ///< longest silence within a request body
    milliseconds idle{60'000};        ///< longest silence between two requests
    milliseconds connect_time{1'000}; ///< limit for connecting to a target

    milliseconds accept_for{5'000};      ///< time in a shutdown in which connections are accepted
    milliseconds take_for{5'000};        ///< time in a shutdown in which new requests are taken
    milliseconds finish_within{600'000}; ///< time after it in which requests may finish

    double retry_share{0.1};        ///< retry budget that each request of a service adds
    double retries_per_second{0.5}; ///< retry budget that a service gets besides
    double retry_reserve{10.0};     ///< maximum of unused retry budget, and its initial value
    bool shed_may_wait{true};       ///< shed requests wait while the retry budget is used up
    /// less urgent requests are turned away while the targets of a service are overloaded
    bool gates_priorities{false};

    placement_kind placement{placement_kind::two_choices};
    /// Bytes per second for messages to other nodes with the number of requests that this node has
    /// outstanding at each target; 0: no such messages.
    std::uint64_t count_budget{0};

    observe::log_level log_level{observe::log_level::info};
};

/// \brief Reads and checks a settings file (JSON with comments).
/// \returns the settings, or the first error with its line or key path
[[nodiscard]] result<settings> load_settings(const std::string& path);

/// \brief Reads and checks settings from the text of a settings file.
/// \param source_name origin of the text, for error messages
/// \returns the settings, or the first error with its line or key path
[[nodiscard]] result<settings> parse_settings(std::string_view text,
                                              const std::string& source_name);

} // namespace wigeonrill::daemon

#endif
