#ifndef WIGEONRILL_ROUTING_RATE_LIMIT_TABLE_H
#define WIGEONRILL_ROUTING_RATE_LIMIT_TABLE_H

#ifndef WIGEONRILL_ROUTING_MODULE
#error "Include wigeonrill/routing.h instead of this file."
#endif

namespace wigeonrill::routing {

/// \brief Returns the largest number of nodes that send requests to a target with a rate limit.
///
/// Each of them may send one request at once after a pause, so their number bounds the burst that
/// the target can get. It grows with the limit, so that few nodes need not carry a high one.
[[nodiscard]] std::size_t max_rate_limit_senders(double per_second);

/// \brief Rate limits that targets have named, and this node's share of each. Not thread-safe.
///
/// A limit applies to the requests of all nodes together. It is divided equally among a few nodes
/// that are chosen by rendezvous hashing; the others send the target nothing. So nodes need not
/// tell each other about single requests, and the limit also holds while they can't reach each
/// other.
///
/// A node that hears of no statement for `lifetime` can't tell whether the chosen nodes still run
/// and whether the limit still holds. Then every node has a small share, to find out.
class rate_limit_table {
public:
    /// Time after which a limit must have been stated again.
    static constexpr seconds lifetime{30};
    /// Time after which a limit that wasn't stated again is forgotten.
    static constexpr std::chrono::minutes memory{10};

    /// \param random must outlive this object
    explicit rate_limit_table(random_source& random) : random_(&random) {}

    /// \brief Sets the nodes among which limits are divided. Nodes that don't respond belong to
    ///        them, because they may still send requests.
    /// \param others ids of all other nodes
    void set_nodes(node_id self, const std::vector<node_id>& others, instant now);

    /// \brief Takes the statement of an answer that this node got.
    /// \param wall wall-clock time now
    /// \returns the notice that other nodes should get; nothing when the answer says nothing new
    std::optional<health::rate_limit> on_answer(const health::answer& answer, wall_time wall);
    /// \brief Takes a notice of another node.
    /// \returns true when it was news to this node
    bool on_notice(const health::rate_limit& notice, instant now);
    /// \brief Changes the shares of limits that were not stated again in time, and forgets old
    /// ones.
    void expire(instant now);

    /// \returns true when the target has a limit
    [[nodiscard]] bool is_limited(const target_id& target) const;
    /// \returns true when this node may send the target a request now
    [[nodiscard]] bool can_send(const target_id& target, instant now);
    /// \brief Counts a request that this node sends to the target.
    void on_send(const target_id& target, instant now);
    /// \returns the time at which can_send() becomes true; instant::max() when this node has no
    ///          share of the limit
    [[nodiscard]] instant next_send_at(const target_id& target, instant now);
    /// \returns the requests per second that this node may send to the target; infinity without a
    ///          limit
    [[nodiscard]] double share_of(const target_id& target) const;

private:
    struct entry {
        health::rate_limit notice;
        instant stated{};           ///< when this node learned of the statement
        bool is_unconfirmed{false}; ///< not stated again for `lifetime`
        double share{0.0};          ///< requests per second of this node
        token_bucket allowance;
    };

    /// \brief Replaces what is known of a target.
    void store(health::rate_limit notice, instant now);
    /// \brief Computes this node's share of a limit anew.
    void update_share(entry& it, instant now) const;
    [[nodiscard]] double compute_share(const health::rate_limit& notice, bool is_unconfirmed) const;
    /// \returns the entry of a target that has a limit, or null
    [[nodiscard]] const entry* find_limited(const target_id& target) const;
    [[nodiscard]] entry* find_limited(const target_id& target);

    random_source* random_;
    node_id self_;
    std::vector<std::uint64_t> other_hashes_; ///< of the ids of all other nodes
    std::unordered_map<target_id, entry> entries_;
};

} // namespace wigeonrill::routing

#endif
