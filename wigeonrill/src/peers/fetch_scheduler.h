#ifndef WIGEONRILL_PEERS_FETCH_SCHEDULER_H
#define WIGEONRILL_PEERS_FETCH_SCHEDULER_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Request for configuration changes to one peer, to be made over TCP by the caller.
struct fetch_request {
    node_id from;
    std::uint64_t since{0}; ///< version in force here

    friend bool operator==(const fetch_request&, const fetch_request&) = default;
};

/// \brief Decides when to ask which peer for configuration changes.
///
/// One request runs at a time, two while the node starts. Requests start after a random delay and,
/// after a failure, an exponential backoff, so that a mass restart or a new version doesn't make
/// all nodes ask one node at once.
class fetch_scheduler {
public:
    /// \brief Chooses a random peer outside a set; nothing when there is none.
    using peer_choice = std::function<std::optional<node_id>(const std::set<node_id>& except)>;

    fetch_scheduler(random_source& random, instant now);

    /// \brief Sets the version in force.
    void set_version(std::uint64_t version);
    /// \brief Marks a version as rejected by the validator: it is not asked for again.
    void skip(std::uint64_t version);
    /// \brief Records that a peer has a version.
    void heard(const node_id& peer, std::uint64_t version, instant now);
    /// \brief Returns the request to make now, if any. Each must be followed by finished().
    [[nodiscard]] std::optional<fetch_request> next(instant now, const peer_choice& any_peer);
    /// \brief Records the end of a request.
    /// \param answered whether the peer answered, with or without changes
    void finished(const node_id& peer, bool answered, instant now);

    /// \returns whether two peers answered since the start, or no further peer can be asked
    [[nodiscard]] bool start_completed() const { return started_; }
    /// \returns how many peers answered since the start, up to two
    [[nodiscard]] std::uint32_t start_answers() const { return answers_; }

private:
    struct holder {
        node_id peer;
        std::uint64_t version{0};
    };

    [[nodiscard]] bool behind(std::uint64_t version) const;
    [[nodiscard]] std::optional<node_id> choose_holder() const;
    void check_start();
    [[nodiscard]] std::optional<node_id> choose_for_start(const peer_choice& any_peer);
    void delay(instant now, milliseconds longest);

    random_source& random_;
    std::uint64_t version_{0};
    std::uint64_t skipped_{0};
    std::vector<holder> holders_; ///< newest last, few
    std::set<node_id> in_flight_;
    std::set<node_id> asked_at_start_;
    std::uint32_t answers_{0};
    std::uint32_t failures_{0}; ///< in a row
    bool no_peer_left_{false};
    bool started_{false};
    instant not_before_{};
};

} // namespace wigeonrill::peers

#endif
