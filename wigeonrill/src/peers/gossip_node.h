#ifndef WIGEONRILL_PEERS_GOSSIP_NODE_H
#define WIGEONRILL_PEERS_GOSSIP_NODE_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Settings of a gossip_node.
struct gossip_settings {
    endpoint address;               ///< peer port of this node, as other nodes reach it
    domain_name domain;             ///< failure domain of this node
    incarnation process;            ///< incarnation of this process
    std::vector<endpoint> seeds;    ///< peers to contact before the platform's list is known
    double bytes_per_second{8'000}; ///< budget for all control traffic that this node sends
    /// Separate budget, in bytes per second, for observations that report the number of outstanding
    /// requests in a target.
    double load_bytes_per_second{0};
    /// Whether the sender of any valid message becomes a member, because there is no list of nodes.
    bool accepts_unlisted_peers{false};
    /// Whether no other process can have the address of this node. A newer incarnation that peers
    /// know at this address is then an earlier process of this node that started under another wall
    /// clock, and this process takes a newer incarnation instead of stopping.
    bool exclusive_address{false};
    /// Port at which this node serves callers, at the IP address of `address`; 0: it can't serve
    /// the requests of nodes that reach no target.
    std::uint16_t traffic_port{0};
};

/// \brief Time and version of a reading, which is a successful read of the platform's store by a
/// peer.
struct peer_store_reading {
    std::uint64_t version{0}; ///< newest version at that time, in force at the peer
    instant when{};           ///< time at which the peer's call to the store started
};

/// \brief Received items, for the modules that process them.
struct inbox {
    std::vector<health::evidence_report> evidence; ///< with the reporter and its failure domain
    std::vector<health::verdict> verdicts;
    std::vector<once::crash_mark> marks;
    std::vector<health::observation> observations;
    std::vector<health::rate_limit> rate_limits;
    std::optional<peer_store_reading> reading; ///< the newest one that was received
    std::vector<std::pair<node_id, quota::credit_ask>> credit_asks;     ///< with their sender
    std::vector<std::pair<node_id, quota::credit_grant>> credit_grants; ///< with their sender
};

/// \brief Node that is alive and so can be chosen as an aggregator.
struct live_node {
    node_id id;
    domain_name domain;

    friend bool operator==(const live_node&, const live_node&) = default;
};

/// \brief Status of one peer.
struct member_status {
    node_id id;
    domain_name domain;
    member_state state{member_state::alive};
    incarnation process;
    std::uint64_t config_version{0};
    bool checks_keys{false}; ///< as in its record
    /// Time since the last message of the peer; nothing if it never sent one.
    std::optional<milliseconds> since_last_message;
};

/// \brief Other nodes that the settings name as seeds.
struct seed_status {
    std::size_t known{0}; ///< their number; 0 if a list of VMs names all nodes
    std::size_t heard{0}; ///< those of which this node or a peer has heard a process
};

/// \brief Membership and gossip protocol of one node, without a socket, a thread or a clock.
///
/// Not thread-safe. The owner calls tick() every tick_interval and receive() for each decoded
/// datagram, and after both take_outgoing(), take_inbox() and take_fetch_request(). See
/// docs/design.md, sections 3.1, 7.2, 8 and 9.
class gossip_node {
public:
    static constexpr milliseconds tick_interval{250};
    static constexpr milliseconds gossip_interval{500};
    /// \brief If a tick is late by more than this, the process is assumed to have been paused.
    static constexpr milliseconds pause_threshold{100};

    /// \param clock must outlive the node
    /// \param random must outlive the node
    gossip_node(gossip_settings settings, const clock_source& clock, random_source& random);

    /// \name Events
    ///@{

    /// \brief Runs all work that is due. To be called every tick_interval.
    void tick();
    /// \brief Processes a message that the codec accepted.
    /// \param from node at the source address of the datagram
    /// \param bytes size of the datagram
    void receive(const node_id& from, const message& content, std::size_t bytes);
    /// \brief Counts a datagram that the codec dropped.
    void count_drop(drop_reason reason, std::size_t bytes);
    /// \brief Counts a message that was sent and replaces its estimated charge to the budget by its
    ///        actual size.
    /// \param bytes size of the datagram, 0 if sending failed
    void count_sent(const outgoing_message& sent, std::size_t bytes);
    /// \brief Counts bytes of change sets sent and received over TCP.
    void count_transfer(std::size_t sent, std::size_t received);
    /// \brief Replaces the platform's list of VMs; entries with another role than node are ignored.
    void set_vms(const std::vector<config::vm_record>& vms);
    /// \brief Sets the configuration in force; a version that isn't newer is ignored.
    /// \param digest content digest of the change set, as in config::change_set
    void set_config(std::uint64_t version, std::string_view digest);
    /// \brief Records that the platform confirmed the version in force as its newest.
    void confirm_by_platform(wall_time when);
    /// \brief Records that the validator rejected a version, so that it isn't requested again.
    void reject_config(std::uint64_t version);
    /// \brief Records the end of a request that take_fetch_request() returned.
    /// \param answered whether the peer sent a valid answer, with or without changes
    void fetch_finished(const node_id& peer, bool answered);
    /// \brief Records that a peer refused such a request because it has too many calls.
    void fetch_refused(const node_id& peer);
    /// \sa fetch_scheduler::request_cancelled
    void fetch_cancelled(const node_id& peer);
    /// \sa fetch_scheduler::is_request_needed
    [[nodiscard]] bool is_fetch_needed(const node_id& peer) const;
    /// \brief Records that such a request has received bytes.
    void fetch_progressed(const node_id& peer);
    /// \brief Records that the changes in an answer refer to other content than that in force.
    /// \param version version in the answer
    void handle_base_mismatch(const fetch_request& request, std::uint64_t version);
    ///@}

    /// \name Commands
    ///@{

    /// \brief Sends evidence to the aggregators of a target as soon as the byte budget allows.
    void report(const std::vector<node_id>& aggregators, const health::evidence_report& evidence);
    /// \brief Sends a verdict of this node to the reporters at once and to all nodes by gossip.
    void announce(const health::verdict& item, const std::vector<node_id>& reporters);
    /// \brief Sends a crash mark to a few peers at once and to all nodes by gossip.
    void announce(const once::crash_mark& item);
    /// \brief Sends a rate limit to a few peers at once and to all nodes by gossip.
    void announce(const health::rate_limit& item);
    /// \brief Tells peers that this node has read the platform's store and has its newest version
    ///        in force.
    /// \param when time at which the call to the store started
    void announce_store_reading(const std::vector<node_id>& to, instant when);
    /// \brief Sends observations of targets by this node to peers. Numbers of outstanding requests
    ///        without bad news wait while their budget is used up, until a later call.
    /// \param seen may be empty, to send those that wait
    void announce(std::vector<health::observation> seen, const std::vector<node_id>& to);
    /// \brief Sends a question about credit to a granter.
    void send(const node_id& to, quota::credit_ask ask);
    /// \brief Sends the answer to such a question.
    void send(const node_id& to, quota::credit_grant grant);
    /// \brief Announces the planned stop of this node to several peers at once and to all by
    /// gossip.
    void announce_leaving();
    /// \brief Announces whether this node reaches no target.
    void announce_cut_off(bool cut_off);
    ///@}

    /// \name Results
    ///@{

    /// \returns the messages to send now
    [[nodiscard]] std::vector<outgoing_message> take_outgoing();
    /// \returns the items received since the last call
    [[nodiscard]] inbox take_inbox();
    /// \returns the request for configuration changes to make now, if any
    [[nodiscard]] std::optional<fetch_request> take_fetch_request();
    ///@}

    /// \name Queries
    ///@{

    [[nodiscard]] const node_id& id() const { return self_.id; }
    /// \returns this node, unless it is leaving, and all peers that are alive and whose link works
    ///          in both directions
    [[nodiscard]] std::vector<live_node> live_nodes() const;
    /// \returns the other nodes that reach targets
    [[nodiscard]] std::vector<health::relay_node> relays() const;
    /// \returns the status of all peers, sorted by id
    [[nodiscard]] std::vector<member_status> status() const;
    /// \returns which seeds the nodes that this one knows have met
    [[nodiscard]] seed_status seeds() const;
    /// \returns the state of a peer; nothing if it is not a member
    [[nodiscard]] std::optional<member_state> state_of(const node_id& peer) const;
    /// \returns the number of peers by configuration version; version 0: not known yet
    [[nodiscard]] std::map<std::uint64_t, std::size_t> peers_by_config_version() const;
    /// \returns the newest time at which the platform confirmed the version in force to this node
    ///          or to a peer with the same version, on the clock of that node; the epoch if never
    [[nodiscard]] wall_time confirmed() const { return confirmed_; }
    /// \returns whether two peers answered a request for configuration, or no more can be asked
    [[nodiscard]] bool start_completed() const { return fetches_.start_completed(); }
    /// \returns for how long a peer has announced a version to fetch; 0 if none does
    [[nodiscard]] nanoseconds behind_for() const { return fetches_.behind_for(clock_.now()); }
    /// \returns whether a newer process runs at this node's address, so that this one must stop
    [[nodiscard]] bool superseded() const { return superseded_; }
    /// \returns how often a peer announced the version in force here with another digest
    [[nodiscard]] std::uint64_t digest_conflicts() const { return digest_conflicts_; }
    /// \returns the number of pauses of this process that were detected by a late tick
    [[nodiscard]] std::uint64_t pause_count() const { return pause_count_; }
    [[nodiscard]] const traffic_counters& counters() const { return counters_; }
    ///@}

private:
    /// Gossip requests to one peer that wait for an answer.
    struct probe {
        std::uint64_t sequence{0}; ///< sequence of the first request; an echo of it is an answer
        instant started{};         ///< time of the first request
        instant due{};             ///< time at which the current attempt times out
        std::uint32_t attempts{0}; ///< number of requests sent
    };

    /// Detects that this process was paused and extends all timers by the pause.
    void compensate_for_pause(instant now);
    /// Sends gossip to a few peers without waiting for the next round.
    void gossip_immediately(instant now);
    /// Tells a few peers at once that they can fetch the version in force here.
    void announce_config(instant now);
    /// Runs a gossip round.
    void gossip(instant now);
    /// Sends a gossip request to a peer and starts a probe if none of this peer is running.
    void start_probe(const node_id& peer, instant now);
    /// Repeats the requests that timed out and ends probes without attempts left.
    void retry_probes(instant now);
    /// Marks a peer that answered no attempt as unreachable, and as suspect if it sent nothing
    /// else.
    void handle_failed_probe(const node_id& peer, const probe& failed, instant now);
    /// \returns attempts per probe, more if many probes of this node fail
    [[nodiscard]] std::uint32_t attempts_allowed() const;
    /// \param include_record whether to include the receiver's own record even if it is alive
    void send_gossip(const node_id& to, message_kind kind, instant now,
                     bool include_record = false);
    /// Fills in the header of a message, charges its budget and queues it.
    void send(const node_id& to, message content, instant now);
    /// \returns the budget that a message is charged to
    [[nodiscard]] token_bucket& budget_of(const message& content);
    /// Sends observations to peers, several in one message.
    void send_observations(const std::vector<health::observation>& seen,
                           const std::vector<node_id>& to, instant now);
    /// Sends waiting evidence as far as the byte budget allows.
    void flush_evidence(instant now);
    /// Checks the sender, its incarnation and the sequence of a message.
    /// \returns false if the message was dropped
    [[nodiscard]] bool accept_header(const node_id& from, const message& content, instant now);
    /// Evaluates the configuration version, digest and confirmation of the sender.
    void apply_config_state(member& sender, const message& content);
    /// Merges the member records of a message into the member table.
    void apply_member_records(const message& content, instant now);
    /// Refutes a suspicion of this node, or notices a newer process at its address.
    void apply_record_of_self(const member_record& record);
    /// Sends changed member records to a few peers at once, within a rate limit.
    void forward_member_changes(instant now);
    /// Records a confirmation by the platform if it is newer than the known one.
    void update_confirmed(wall_time when);
    /// Answers a gossip request, within a rate limit.
    void reply(const node_id& to, instant now, bool include_record = false);
    /// Moves evidence, verdicts, crash marks, rate limits and observations of a message to the
    /// inbox.
    void apply_items(const member& sender, const message& content, instant now);
    /// Schedules a changed record for gossip.
    void handle_merge_outcome(const node_id& id, merge_outcome outcome, instant now);
    /// Starts a probe of an unreachable peer whose record is alive.
    void probe_if_alive_again(const node_id& id, instant now);
    /// Passes the seeds and the platform's list to the member table.
    void update_listed_members(instant now);

    gossip_settings settings_;
    const clock_source& clock_;
    random_source& random_;
    member_record self_;   ///< record of this node
    member_table members_; ///< all other nodes
    digest_builder digest_;
    evidence_queue evidence_;
    count_batch counts_;          ///< wait until load_budget_ has bytes again
    token_bucket byte_budget_;    ///< bytes of control traffic
    token_bucket load_budget_;    ///< bytes of observations with numbers of outstanding requests
    token_bucket reply_budget_;   ///< replies to gossip requests
    token_bucket forward_budget_; ///< immediate forwards of member changes
    fetch_scheduler fetches_;
    std::vector<config::vm_record> vms_; ///< the platform's list
    std::map<node_id, probe> probes_;    ///< running probes by peer
    std::vector<outgoing_message> outgoing_;
    inbox inbox_;
    traffic_counters counters_;
    std::uint64_t config_version_{0};
    std::uint64_t config_digest_{0}; ///< hash of the digest of the version in force
    wall_time confirmed_{};
    std::optional<instant> last_tick_;
    instant next_gossip_{};
    std::uint64_t gossip_rounds_{0};
    // Moving average of the share of first attempts that were not answered. The initial value is
    // high, because a node that knows nothing about its links must not suspect others quickly.
    double probe_failure_rate_{0.3};
    bool member_changes_pending_{false}; ///< records changed since the last forward
    bool superseded_{false};
    std::uint64_t digest_conflicts_{0};
    std::uint64_t pause_count_{0};
};

} // namespace wigeonrill::peers

#endif
