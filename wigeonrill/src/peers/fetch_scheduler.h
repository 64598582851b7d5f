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
    std::uint64_t since{0}; ///< configuration version in force on this node

    friend bool operator==(const fetch_request&, const fetch_request&) = default;
};

/// \brief Decides when to request configuration changes, and from which peer.
///
/// Only one request is in flight at a time, or two while the node starts. Requests start after a
/// random delay, which grows exponentially after failures, so that a mass restart or a new version
/// doesn't make all nodes ask the same node at once.
class fetch_scheduler {
public:
    /// \brief Function that returns a random peer outside the given set; nothing if there is none.
    using peer_selector = std::function<std::optional<node_id>(const std::set<node_id>& except)>;

    /// \param random must outlive the scheduler
    fetch_scheduler(random_source& random, instant now);

    /// \brief Sets the configuration version in force on this node; an older one is ignored.
    void set_version(std::uint64_t version);
    /// \brief Records that the validator rejected a version, so that it isn't requested again.
    void reject_version(std::uint64_t version);
    /// \brief Records that a peer announced the configuration version that it has in force.
    void record_peer_version(const node_id& peer, std::uint64_t version, instant now);
    /// \brief Returns the request to make now. Its end must be reported to request_finished().
    /// \param choose_peer used while the node starts, if no peer is known to have a newer version
    /// \returns the request; nothing if none is due
    [[nodiscard]] std::optional<fetch_request> next_request(instant now,
                                                            const peer_selector& choose_peer);
    /// \brief Records the end of a request.
    /// \param answered whether the peer sent a valid answer, with or without changes
    void request_finished(const node_id& peer, bool answered, instant now);

    /// \returns whether two peers answered since the start, or no further peer can be asked
    [[nodiscard]] bool start_completed() const { return start_completed_; }
    /// \returns the number of peers that answered since the start, at most two
    [[nodiscard]] std::uint32_t start_answers() const { return start_answers_; }

private:
    /// Peer that announced a version newer than the one in force.
    struct version_source {
        node_id peer;
        std::uint64_t version{0};
    };

    /// \returns whether a version is newer than the one in force and the newest rejected one
    [[nodiscard]] bool is_wanted(std::uint64_t version) const;
    [[nodiscard]] std::optional<node_id> choose_version_source() const;
    void update_start_completed();
    [[nodiscard]] std::optional<node_id> choose_for_start(const peer_selector& choose_peer);
    /// Starts no request before a random time between now and the longest delay.
    void delay_requests(instant now, milliseconds longest);

    random_source& random_;
    std::uint64_t version_{0};                    ///< version in force
    std::uint64_t rejected_version_{0};           ///< newest version that the validator rejected
    std::vector<version_source> version_sources_; ///< most recently announced last; at most four
    std::set<node_id> in_flight_;                 ///< peers whose answer is awaited
    std::set<node_id> asked_at_start_; ///< peers that were asked before the start was complete
    std::uint32_t start_answers_{0};
    std::uint32_t consecutive_failures_{0}; ///< failed requests since the last answer, limited
    bool no_peer_left_{false}; ///< the last search found no peer that was not yet asked
    bool start_completed_{false};
    instant not_before_{}; ///< time of the next request at the earliest
};

} // namespace wigeonrill::peers

#endif
