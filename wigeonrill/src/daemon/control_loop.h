#ifndef WIGEONRILL_DAEMON_CONTROL_LOOP_H
#define WIGEONRILL_DAEMON_CONTROL_LOOP_H

#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead of this file."
#endif

namespace wigeonrill::daemon {

/// \brief Objects that the control loop uses. All of them must outlive it.
struct control_dependencies {
    const clock_source& clock;
    observe::log_sink& log;
    observe::metric_registry& metrics;
    traffic_event_sink& events;
    dispatch::request_dispatcher& dispatcher;
    peers::gossip_node* gossip{nullptr};             ///< null: the node has no peers
    std::size_t max_nodes{quota::default_max_nodes}; ///< nodes that the fleet has at most
};

/// \brief Work of the control thread: processes traffic events and peer messages, updates the
///        health of targets, and publishes the routing view and the state of the node.
///
/// Only the control thread may call it, except for state(), which is thread-safe.
class control_loop {
public:
    static constexpr milliseconds tick_period{50};

    /// \param self identity of this node among its peers
    /// \param domain failure domain of this node
    control_loop(control_dependencies dependencies, node_id self, domain_name domain);

    /// \brief Applies configuration changes that come from the platform, a file or a peer.
    /// \param source origin of the changes, for the log
    /// \returns whether the new version is in force, or why it was not applied
    config::apply_outcome apply_changes(const config::change_set& changes, std::string_view source);
    /// \brief Sets the callback that runs on the control thread whenever a new configuration has
    ///        come into force.
    void on_configuration_change(std::function<void()> listener) {
        configuration_listener_ = std::move(listener);
    }
    /// \brief Applies what this node has read from the platform's store, and announces the reading
    ///        to the other nodes of its read-sharing group.
    void handle_store_reading(const platform::store_reading& latest);
    /// \brief Sets the callback that runs on the control thread when the configuration in force is
    ///        at least as new as what a peer has read. Its argument is the time of that reading.
    void on_peer_reading_applied(std::function<void(instant)> listener) {
        peer_reading_listener_ = std::move(listener);
    }
    /// \brief Sets the callback that receives this node's rank in its read-sharing group, on the
    ///        control thread, whenever the group is computed.
    void on_group_rank(std::function<void(std::size_t)> listener) {
        group_rank_listener_ = std::move(listener);
    }
    /// \brief Logs the end of a call to a peer for configuration changes. To be called before the
    ///        changes are applied.
    void log_fetch(const finished_fetch& ended);
    /// \brief Records that this version is still the newest that the platform or file provides.
    void confirm(std::uint64_t version);
    /// \brief Processes the events of traffic threads, announces new observations to peers and
    ///        processes the messages of peers. Also called between ticks, because requests could
    ///        otherwise still be sent to a failing target until the next tick.
    void exchange_events();
    /// \brief Runs one tick. Call it once per tick_period.
    void run_once();

    /// \returns version, digest and entries of the configuration in force
    [[nodiscard]] platform::version_in_force current_version() const;
    /// \returns all targets with their health state and weight
    [[nodiscard]] std::vector<target_row> targets() const;
    /// \returns the changes that bring a peer from an older version to the one in force
    [[nodiscard]] config::change_set changes_since(std::uint64_t version) const;
    /// \returns the changes that bring a peer from what it has to the version in force
    [[nodiscard]] config::change_set changes_for(const config::change_base& base) const;
    /// \returns what this node asks for changes to
    [[nodiscard]] config::change_base base() const;
    /// \returns the state that was published last; thread-safe
    [[nodiscard]] node_state_ptr state() const;

private:
    /// \returns a sequence number above all that earlier processes of this node have used
    [[nodiscard]] static std::uint64_t sequence_now(const clock_source& clock);
    void process_traffic_events();
    void handle(const health::answer& answer);
    void handle(const dispatch::decision_record& decision);
    void handle(const once::crash_mark& mark);
    void handle(const health::observation& observed) { pending_observations_.push_back(observed); }
    void handle(const health::rate_limit& notice);
    void handle(const quota::outgoing_ask& ask);
    /// \brief Grants credit to a node, which may be this one, and answers it.
    void answer_credit_ask(const node_id& from, const quota::credit_ask& ask);
    /// \brief Tells granter_ when this process was paused.
    void detect_pause(instant now);
    void log_credit_refusals(const node_id& from, const quota::credit_ask& ask,
                             const quota::credit_grant& grant);
    void announce_observations();
    void handle_peer_reading(const peers::peer_store_reading& received);
    void notify_peer_reading_listener();
    /// \brief Makes the content that was read the configuration in force, if it differs.
    /// \returns true when the configuration in force now has that content
    [[nodiscard]] bool apply_store_content(const platform::store_reading& latest);
    /// \brief Records that a target leaves, or doesn't leave any more, and tells the other nodes.
    /// \param source origin of the news, for the log
    void announce_leaving_target(const service_name& service, const target_id& target,
                                 const health::leaving_notice& notice, std::string_view source);
    void log_leaving_target(const service_name& service, const target_id& target,
                            const health::leaving_notice& notice, std::string_view source);
    void log_crash_mark(const once::crash_mark& mark, std::string_view source);
    void log_rate_limit(const health::rate_limit& notice, std::string_view source);
    void log_unreadable_rate_limit(const health::answer& answer);
    void log_pause(const health::answer& answer);
    void process_peer_messages();
    void update_members();
    void update_fleet_size(const std::vector<peers::member_status>& members,
                           const std::vector<node_id>& live);
    /// \brief Announces whether this node reaches targets, and tells the dispatcher which nodes do.
    void update_reachability();
    /// \brief Takes over the group of nodes that share readings of the store.
    void set_read_sharing_group(platform::read_sharing_group next);
    /// \brief Takes over the group of nodes that use the same targets.
    void set_node_group(routing::node_group next);
    void apply_monitor_actions(const health::monitor_actions& actions);
    void activate_configuration();
    void publish_state();
    void publish_configuration_delay();
    void log_answered_fetch(const finished_fetch& ended);
    void write_log(observe::log_level level, observe::log_subsystem subsystem,
                   const observe::log_line& line);

    control_dependencies dependencies_;
    config::configuration_store store_;
    health::monitor monitor_;
    std::function<void()> configuration_listener_;
    std::function<void(instant)> peer_reading_listener_;
    std::function<void(std::size_t)> group_rank_listener_;
    platform::read_sharing_group readers_;
    routing::node_group group_;
    quota::fleet_census census_;
    quota::credit_granter granter_;
    std::uint64_t pauses_{0}; ///< of this process, of which granter_ has been told
    std::shared_ptr<const config::workspace_directory> workspaces_; ///< of the version in force
    std::map<workspace_name, instant> limited_workspaces_; ///< last log line about each limit
    std::optional<peers::peer_store_reading>
        latest_peer_reading_;                               ///< newest reading announced by a peer
    std::vector<health::observation> pending_observations_; ///< of this node, not announced yet
    std::set<target_id> unreadable_limits_; ///< targets whose unreadable limit was logged
    /// Ejected targets for which a probe was requested. Their next answer is its result.
    std::set<target_id> probed_targets_;
    std::uint64_t era_{0}; ///< of the store, as of the configuration in force
    bool plans_changed_{true};
    bool cut_off_{false}; ///< this node reaches no target
    std::uint64_t ticks_{0};
    std::uint64_t busy_answers_{0}; ///< of peers to fetches, since the last one that was answered
    std::map<std::string, std::size_t> peers_by_state_;
    std::shared_ptr<const peer_addresses> peers_;
    mutable std::mutex state_mutex_;
    node_state_ptr state_;
};

} // namespace wigeonrill::daemon

#endif
