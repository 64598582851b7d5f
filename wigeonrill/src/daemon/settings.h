#ifndef WIGEONRILL_DAEMON_SETTINGS_H
#define WIGEONRILL_DAEMON_SETTINGS_H

#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead of this file."
#endif

namespace wigeonrill::daemon {

/// \brief Ways to choose a target.
enum class placement_kind : std::uint8_t {
    two_choices, ///< the less loaded of two random ones, as far as this node knows
    least_cost   ///< the least expected cost, with what the other nodes tell
};

/// \brief Names of the placement kinds in settings.
inline constexpr enum_name_table<placement_kind, 2> placement_kind_names{{
    {placement_kind::two_choices, "two_choices"},
    {placement_kind::least_cost, "least_cost"},
}};

/// \brief Settings of one daemon, from its settings file. See docs/reference/settings.md.
struct settings {
    domain_name domain;
    endpoint traffic;             ///< for callers and for requests forwarded by nodes
    std::optional<endpoint> peer; ///< UDP and TCP for other nodes; none: the node is alone
    endpoint admin;               ///< health, metrics and the tool

    std::string configuration_file; ///< empty: the platform's service is used
    std::vector<endpoint> platform; ///< servers of the platform's configuration service
    std::optional<endpoint> store;  ///< the platform's store of targets and rules, in their place
    platform::inventory_options inventory; ///< what the store's records leave open
    /// The first call to the platform comes at random within this time, so that a mass restart
    /// does not make all nodes call at once.
    milliseconds start_delay{30'000};

    std::vector<endpoint> seeds; ///< peers to talk to before the list of VMs is known
    std::string secret;          ///< authenticates datagrams between nodes; empty: none

    std::uint32_t max_connections{1024};
    std::uint32_t max_head_bytes{16'384};
    std::uint64_t max_body_bytes{std::uint64_t{1} << 30U};
    milliseconds head_time{10'000};
    milliseconds body_idle{15'000};
    milliseconds idle{60'000};
    milliseconds connect_time{1'000}; ///< for a connection to a target

    milliseconds accept_for{5'000};      ///< accepting goes on this long after a stop began
    milliseconds finish_within{600'000}; ///< requests may take this long to finish after that

    double retry_share{0.1};        ///< extra sends per request of a service
    double retries_per_second{0.5}; ///< extra sends beside them
    double retry_reserve{10.0};     ///< most extra sends that can be saved up
    bool shed_may_wait{true};       ///< shed requests wait when no extra send is left

    placement_kind placement{placement_kind::two_choices};
    /// Bytes per second for telling other nodes how many requests this one has in which target.
    std::uint64_t count_budget{0};

    observe::log_level log_level{observe::log_level::info};
};

/// \brief Reads and checks a settings file (JSON with comments).
/// \returns the settings, or the first fault with its line or key path
[[nodiscard]] result<settings> load_settings(const std::string& path);

/// \brief Reads and checks settings from text.
/// \param source_name origin of the text, for messages
[[nodiscard]] result<settings> parse_settings(std::string_view text,
                                              const std::string& source_name);

} // namespace wigeonrill::daemon

#endif
