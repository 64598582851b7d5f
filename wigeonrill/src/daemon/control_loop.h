#ifndef WIGEONRILL_DAEMON_CONTROL_LOOP_H
#define WIGEONRILL_DAEMON_CONTROL_LOOP_H

#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead of this file."
#endif

namespace wigeonrill::daemon {

/// \brief What the control thread works with. All must outlive it.
struct control_parts {
    const clock_source& clock;
    observe::log_sink& log;
    observe::metric_registry& metrics;
    traffic_events& events;
    dispatch::request_dispatcher& dispatcher;
    peers::gossip_node* gossip{nullptr}; ///< null: the node has no peers
};

/// \brief The control thread's work: takes events, judges targets, publishes views.
///
/// One thread calls it. Only state() may be called by others.
class control_loop {
public:
    static constexpr milliseconds tick_period{50};

    control_loop(control_parts parts, node_id self, domain_name domain);

    /// \brief Offers changes from platform, file or a peer to the configuration store.
    /// \param source where they come from, for the log
    /// \returns what became of them
    config::apply_outcome offer(const config::change_set& changes, std::string_view source);
    /// \brief Sets what to call on this thread after each configuration that is taken over.
    void on_adopted(std::function<void()> listener) { adopted_ = std::move(listener); }
    /// \brief Takes what this node read from the platform's store, and tells its group.
    void take_reading(const platform::reading& made);
    /// \brief Sets what to call on this thread when a peer's reading is in force here.
    void on_known(std::function<void(instant)> listener) { known_ = std::move(listener); }
    /// \brief Sets what to call on this thread with this node's rank in its reading group.
    void on_group(std::function<void(std::size_t)> listener) { ranked_ = std::move(listener); }
    /// \brief Records that the platform or file still has the version in force as its newest.
    void confirm(std::uint64_t version);
    /// \brief Tells peers what traffic threads have seen, and takes what peers tell. Called
    ///        between ticks too, because requests meanwhile go to the targets concerned.
    void exchange_news();
    /// \brief One tick; to be called every tick_period.
    void run_once();

    /// \returns the version in force as the platform's reader needs it
    [[nodiscard]] platform::held_version held() const;
    /// \returns all targets with their state and share
    [[nodiscard]] std::vector<target_row> targets() const;
    /// \returns the changes that a peer with an older version needs
    [[nodiscard]] config::change_set changes_since(std::uint64_t version) const;
    /// \returns the state as of the last tick; callable from any thread
    [[nodiscard]] node_state_ptr state() const;

private:
    void take_traffic_events();
    void take(const health::answer& answer);
    void take(const dispatch::decision_record& decision);
    void take(const once::crash_mark& mark);
    void take(const health::observation& seen) { observed_.push_back(seen); }
    void tell_observed();
    void tell_verdicts();
    void tell_counts();
    void take_peer_reading(const peers::peer_reading& heard);
    void use_peer_reading();
    /// \returns true when the version in force has the content that was read
    [[nodiscard]] bool publish_reading(const platform::reading& made);
    void tell_leaving(const health::answer& answer);
    void take_peer_items();
    void take_members();
    void set_group(platform::reading_group next);
    void carry_out(const health::monitor_actions& actions);
    void adopt_configuration();
    void publish();
    void write(observe::log_level level, observe::log_part part, const observe::log_line& line);

    control_parts parts_;
    config::store store_;
    health::monitor monitor_;
    std::shared_ptr<const routing::route_table> routes_;
    std::function<void()> adopted_;
    std::function<void(instant)> known_;
    std::function<void(std::size_t)> ranked_;
    platform::reading_group group_;
    std::optional<peers::peer_reading> heard_;  ///< newest reading of a peer
    std::vector<health::observation> observed_; ///< since the last tick
    std::map<target_id, instant> leaving_told_; ///< end of the notice that peers got
    std::set<target_id> probed_;                ///< ejected targets whose next answer is a probe's
    bool plans_changed_{true};
    std::uint64_t ticks_{0};
    std::map<std::string, std::size_t> peers_by_state_;
    std::shared_ptr<const std::set<std::string>> peer_ips_;
    mutable std::mutex state_mutex_;
    node_state_ptr state_;
};

} // namespace wigeonrill::daemon

#endif
