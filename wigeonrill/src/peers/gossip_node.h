#ifndef WIGEONRILL_PEERS_GOSSIP_NODE_H
#define WIGEONRILL_PEERS_GOSSIP_NODE_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief What a gossip_node knows from its settings.
struct gossip_settings {
    endpoint address;                 ///< of this node's peer port, as others reach it
    domain_name domain;               ///< failure domain of this node
    incarnation process;              ///< of this process
    std::vector<endpoint> seeds;      ///< peers to talk to before the platform's list is known
    double bytes_per_second{8'000};   ///< budget of all control traffic that this node sends
    double count_bytes_per_second{0}; ///< budget of counts of requests in targets, beside it
    /// There is no list of nodes: whoever sends a valid message is a member.
    bool admits_unlisted{false};
    /// No other process can have this node's address, so a newer incarnation that peers know there
    /// is its own past under another wall clock.
    bool owns_address{false};
};

/// \brief A peer's own reading of the platform.
struct peer_reading {
    std::uint64_t version{0}; ///< newest version at that time, in force at the peer
    instant when{};           ///< start of its call
};

/// \brief Received items, for the modules that act on them.
struct inbox {
    std::vector<health::evidence_report> evidence; ///< reporter and its domain are set
    std::vector<health::verdict> verdicts;
    std::vector<once::crash_mark> marks;
    std::vector<health::observation> observations;
    std::optional<peer_reading> reading; ///< the newest one
};

/// \brief A live node, as a candidate for aggregator.
struct live_node {
    node_id id;
    domain_name domain;

    friend bool operator==(const live_node&, const live_node&) = default;
};

/// \brief One line of the status of the peers.
struct member_status {
    node_id id;
    domain_name domain;
    member_state state{member_state::alive};
    incarnation process;
    std::uint64_t config_version{0};
    std::optional<milliseconds> silence; ///< since its last message; nothing: never heard
};

/// \brief Membership and gossip of one node, without socket, thread or clock of its own.
///
/// One thread calls it: tick() every tick_interval, receive() for each decoded datagram, and after
/// both take_outgoing(), take_inbox() and take_fetch(). Design, sections 3.1, 7.2, 8 and 9.
class gossip_node {
public:
    static constexpr milliseconds tick_interval{250};
    static constexpr milliseconds gossip_interval{500};
    /// \brief A tick that comes later than this after its time means that the process paused.
    static constexpr milliseconds pause_threshold{100};

    /// \param clock outlives the node
    /// \param random outlives the node
    gossip_node(gossip_settings settings, const clock_source& clock, random_source& random);

    /// \name Events
    ///@{

    /// \brief Runs everything that is due. To be called every tick_interval.
    void tick();
    /// \brief Takes a message that the codec accepted.
    /// \param from id of its source address
    /// \param bytes size of the datagram
    void receive(const node_id& from, const message& content, std::size_t bytes);
    /// \brief Counts a datagram that the codec dropped.
    void count_drop(drop_reason reason, std::size_t bytes);
    /// \brief Counts a message that was sent, and corrects its charge to the budget.
    /// \param bytes size of the datagram, 0 if sending failed
    void count_sent(const outgoing& sent, std::size_t bytes);
    /// \brief Counts bytes of a change set sent or received over TCP.
    void count_transfer(std::size_t sent, std::size_t received);
    /// \brief Replaces the platform's list of VMs; entries of other roles are ignored.
    void set_vms(const std::vector<config::vm_record>& vms);
    /// \brief Sets the configuration in force.
    /// \param digest of the change set, as in config::change_set
    void set_config(std::uint64_t version, std::string_view digest);
    /// \brief Records that the platform still had the version in force as its newest.
    void confirm_by_platform(wall_time when);
    /// \brief Records that the validator rejected a version; it is not asked for again.
    void reject_config(std::uint64_t version);
    /// \brief Records the end of a request from take_fetch().
    void fetch_finished(const node_id& peer, bool answered);
    ///@}

    /// \name Commands
    ///@{

    /// \brief Sends evidence to the aggregators of a target, within the byte budget.
    void report(const std::vector<node_id>& aggregators, const health::evidence_report& evidence);
    /// \brief Sends a verdict of this node to reporters at once and to all by gossip.
    void announce(const health::verdict& item, const std::vector<node_id>& reporters);
    /// \brief Spreads a crash mark.
    void announce(const once::crash_mark& item);
    /// \brief Tells peers that this node has read the platform and has its newest version in force.
    /// \param when start of the call
    void announce_reading(const std::vector<node_id>& to, instant when);
    /// \brief Tells peers what answers of this node said about targets, and how many requests it
    ///        has in them. Observations with a count are left out beyond the budget for counts.
    void announce(std::vector<health::observation> seen, const std::vector<node_id>& to);
    /// \brief Tells the fleet that this node stops; several peers hear it at once.
    void announce_leaving();
    ///@}

    /// \name Results
    ///@{

    /// \returns messages to send now
    [[nodiscard]] std::vector<outgoing> take_outgoing();
    /// \returns items received since the last call
    [[nodiscard]] inbox take_inbox();
    /// \returns the request for changes to make now, if any
    [[nodiscard]] std::optional<fetch_request> take_fetch();
    ///@}

    /// \name Queries
    ///@{

    [[nodiscard]] const node_id& id() const { return self_.id; }
    /// \returns this node unless it leaves, and all peers that are alive in both directions
    [[nodiscard]] std::vector<live_node> live_nodes() const;
    /// \returns all peers, sorted by id
    [[nodiscard]] std::vector<member_status> status() const;
    /// \returns the state of a peer; nothing when it is not a member
    [[nodiscard]] std::optional<member_state> state_of(const node_id& peer) const;
    /// \returns number of peers by configuration version; 0: not heard
    [[nodiscard]] std::map<std::uint64_t, std::size_t> config_versions() const;
    /// \returns newest time at which the platform confirmed the version in force to this node or to
    /// a peer with the same version, on the clock of that node; the epoch if never
    [[nodiscard]] wall_time confirmed() const { return confirmed_; }
    /// \returns whether two peers answered about configuration, or no more peers can be asked
    [[nodiscard]] bool start_completed() const { return fetches_.start_completed(); }
    /// \returns whether a newer process runs at this node's address; this one must stop
    [[nodiscard]] bool superseded() const { return superseded_; }
    /// \returns number of peers seen with our version and another digest
    [[nodiscard]] std::uint64_t digest_conflicts() const { return digest_conflicts_; }
    /// \returns number of own pauses noticed by a late tick
    [[nodiscard]] std::uint64_t pauses() const { return pauses_; }
    [[nodiscard]] const traffic_counters& counters() const { return counters_; }
    ///@}

private:
    struct probe {
        std::uint64_t sequence{0}; ///< first request that was not answered
        instant started{};
        instant due{};
        std::uint32_t attempts{0};
    };

    void excuse_pause(instant now);
    /// Sends gossip to a few peers without waiting for the next round.
    void spread_at_once(instant now);
    void gossip(instant now);
    void start_probe(const node_id& peer, instant now);
    void retry_probes(instant now);
    void give_up(const node_id& peer, const probe& failed, instant now);
    [[nodiscard]] std::uint32_t attempts_allowed() const;
    void send_gossip(const node_id& to, message_kind kind, instant now, bool with_record = false);
    void send(const node_id& to, message content, instant now);
    [[nodiscard]] token_bucket& budget_of(const message& content);
    void flush_evidence(instant now);
    [[nodiscard]] bool accept_header(const node_id& from, const message& content, instant now);
    void learn_config(member& sender, const message& content);
    void learn_members(const message& content, instant now);
    void learn_self(const member_record& record);
    void pass_on(instant now);
    void confirm(wall_time when);
    void reply(const node_id& to, instant now, bool with_record = false);
    void learn_items(const member& sender, const message& content, instant now);
    void note_merge(const node_id& id, merge_outcome outcome, instant now);
    void probe_if_back(const node_id& id, instant now);
    void update_listed(instant now);

    gossip_settings settings_;
    const clock_source& clock_;
    random_source& random_;
    member_record self_;
    member_table members_;
    digest_builder digest_;
    evidence_queue evidence_;
    token_bucket bucket_;  ///< bytes
    token_bucket counts_;  ///< bytes of counts of requests in targets
    token_bucket replies_; ///< messages
    token_bucket urgent_;  ///< changes of members that are passed on at once
    fetch_scheduler fetches_;
    std::vector<config::vm_record> vms_;
    std::map<node_id, probe> probes_;
    std::vector<outgoing> outgoing_;
    inbox inbox_;
    traffic_counters counters_;
    std::uint64_t config_version_{0};
    std::uint64_t config_digest_{0};
    wall_time confirmed_{};
    std::optional<instant> last_tick_;
    instant next_gossip_{};
    std::uint64_t gossip_rounds_{0};
    // Moving average over first attempts. It starts high, because a node that knows nothing about
    // its links must not accuse others quickly.
    double probe_failure_share_{0.3};
    bool urgent_news_{false};
    bool superseded_{false};
    std::uint64_t digest_conflicts_{0};
    std::uint64_t pauses_{0};
};

} // namespace wigeonrill::peers

#endif
