#ifndef WIGEONRILL_PEERS_FETCH_SCHEDULER_H
#define WIGEONRILL_PEERS_FETCH_SCHEDULER_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Request for configuration changes that the owner of the fetch_scheduler must send to a
/// peer over TCP.
struct fetch_request {
    node_id from;           ///< peer to ask
    std::uint64_t since{0}; ///< configuration version in force on this node; 0: asks for all shards
    /// All known sources have failed, so a peer that stays silent gets more time.
    bool patient{false};

    friend bool operator==(const fetch_request&, const fetch_request&) = default;
};

/// \brief Decides when to request configuration changes, and from which peer.
///
/// At most two requests are in flight at a time: both while the node starts, later a second one
/// only while the first receives no byte or takes long. Requests start after a random delay, so
/// that a mass restart or a new version doesn't make all nodes ask the same node at once. After a
/// failure other sources are asked; once all known sources have failed, the delay grows
/// exponentially.
class fetch_scheduler {
public:
    /// \brief Function that returns a random peer outside the given set; nothing if there is none.
    using peer_selector = std::function<std::optional<node_id>(const std::set<node_id>& except)>;

    /// \param random must outlive the scheduler
    fetch_scheduler(random_source& random, instant now);

    /// \brief Sets the configuration version in force on this node; an older one is ignored.
    void set_version(std::uint64_t version);
    /// \brief Records that this version was rejected, so that it isn't requested again.
    void reject_version(std::uint64_t version);
    /// \brief Records that the changes that a peer sent refer to other content than that in force.
    ///        If they were requested since the version in force, all shards are requested until a
    ///        newer version is in force.
    /// \param version version that the peer sent
    void handle_base_mismatch(const fetch_request& request, std::uint64_t version);
    /// \brief Records that a peer announced the configuration version that it has in force.
    void record_peer_version(const node_id& peer, std::uint64_t version, instant now);
    /// \brief Returns the request to make now. Its end must be reported to request_finished() or
    ///        request_refused().
    /// \param choose_peer used while the node starts, if no peer is known to have a newer version
    /// \returns the request; nothing if none is due
    [[nodiscard]] std::optional<fetch_request> next_request(instant now,
                                                            const peer_selector& choose_peer);
    /// \returns whether a request in flight may still bring a wanted version
    [[nodiscard]] bool is_request_needed(const node_id& peer) const;
    /// \brief Records that a request was given up because it is no longer needed.
    void request_cancelled(const node_id& peer);
    /// \brief Records that a request in flight has received bytes.
    void request_progressed(const node_id& peer, instant now);
    /// \brief Records the end of a request.
    /// \param answered whether the peer sent a valid answer, with or without changes
    void request_finished(const node_id& peer, bool answered, instant now);
    /// \brief Records that a peer refused a request because it has too many calls.
    void request_refused(const node_id& peer, instant now);

    /// \returns whether two peers answered since the start, or no further peer can be asked
    [[nodiscard]] bool start_completed() const { return start_completed_; }
    /// \returns the number of peers that answered since the start, at most two
    [[nodiscard]] std::uint32_t start_answers() const { return start_answers_; }
    /// \returns for how long a peer has announced a version that is wanted; 0 if none does
    [[nodiscard]] nanoseconds behind_for(instant now) const;

private:
    /// Peer that announced a version newer than the one in force.
    struct version_source {
        node_id peer;
        std::uint64_t version{0};
        instant not_before{}; ///< a busy peer is asked again from this time on
        bool failed{false};   ///< since the last time that all sources had failed
    };

    /// Request whose end is awaited.
    struct pending_request {
        instant started{};
        instant progressed{};     ///< start, or when bytes were received last
        std::uint64_t version{0}; ///< newest that the peer announced; 0 if it announced none
    };

    /// \returns whether a version is newer than the one in force and was not rejected
    [[nodiscard]] bool is_wanted(std::uint64_t version) const;
    void forget_unwanted_sources();
    /// Adds a source; if there are too many, removes the oldest one of the lowest version.
    void add_source(const node_id& peer, std::uint64_t version);
    [[nodiscard]] version_source* find_source(const node_id& peer);
    [[nodiscard]] const version_source* find_source(const node_id& peer) const;
    /// \returns whether the number of requests in flight, and their progress, allow another one
    [[nodiscard]] bool may_start_request(instant now) const;
    /// \returns a random source of the newest version among those that can be asked now
    [[nodiscard]] std::optional<node_id> choose_version_source(instant now);
    [[nodiscard]] bool can_be_asked(const version_source& source, instant now) const;
    void record_failure(const node_id& peer, instant now);
    void update_start_completed();
    [[nodiscard]] std::optional<node_id> choose_for_start(const peer_selector& choose_peer);
    /// Starts no request before a random time between now and the longest delay.
    void delay_requests(instant now, milliseconds longest);
    /// \returns a random time between now and the longest delay
    [[nodiscard]] instant random_time(instant now, milliseconds longest);

    random_source& random_;
    std::uint64_t version_{0};                     ///< version in force
    std::deque<std::uint64_t> rejected_versions_;  ///< oldest rejection first; bounded
    std::vector<version_source> version_sources_;  ///< most recently announced last; bounded
    std::map<node_id, pending_request> in_flight_; ///< by the peer that was asked
    std::set<node_id> asked_at_start_; ///< peers that were asked before the start was complete
    std::uint32_t start_answers_{0};
    std::uint32_t start_refusals_{0}; ///< refusals by busy peers during the start
    std::uint32_t failed_rounds_{0};  ///< how often all sources failed since an answer
    bool asks_for_all_shards_{false};
    bool no_peer_left_{false}; ///< the last search found no peer that was not yet asked
    bool start_completed_{false};
    bool backoff_shortened_{false};       ///< by a new source, once per backoff
    instant not_before_{};                ///< time of the next request at the earliest
    std::optional<instant> behind_since_; ///< when the first wanted version was announced
};

} // namespace wigeonrill::peers

#endif
