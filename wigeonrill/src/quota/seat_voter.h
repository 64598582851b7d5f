#ifndef WIGEONRILL_QUOTA_SEAT_VOTER_H
#define WIGEONRILL_QUOTA_SEAT_VOTER_H

#ifndef WIGEONRILL_QUOTA_MODULE
#error "Include wigeonrill/quota.h instead of this file."
#endif

namespace wigeonrill::quota {

/// \brief Chooses the granter of each seat that this node asks and votes for. Not thread-safe.
///
/// Each node has an equal part of each limit. Its vote lends the part to the granter; while it
/// doesn't vote, it may use the part itself. When the granter changes, the vote is withheld until
/// the granter before it no longer counts it. So no part is used twice. A node that becomes the
/// better choice for a seat is taken over by one node after the other, so that the seat's grants go
/// on meanwhile.
class seat_voter {
public:
    /// Time between two messages with votes to a granter.
    static constexpr milliseconds vote_interval{500};
    /// Time after a change of the granter in which the vote is withheld: longer than it counts,
    /// with room for the delay of the last message.
    static constexpr milliseconds withheld_time{1'800};

    /// \brief Sets the nodes that may hold seats.
    /// \param live nodes that respond, with this one
    /// \param size number of nodes among which limits are divided
    void set_nodes(const node_id& self, const std::vector<node_id>& live, const fleet_size& size,
                   instant now);
    /// \brief Records that a granter sent no answer in time; its seats are avoided for a while.
    void on_silence(const node_id& granter, instant now);
    /// \brief Records an answer of a granter.
    void on_answer(const node_id& granter) { silent_until_.erase(granter); }

    /// \returns whether set_nodes() was called with at least one node
    [[nodiscard]] bool has_granters() const { return has_granters_; }
    /// \returns the granter of a seat; there must be one
    [[nodiscard]] const node_id& granter_of(seat one) const { return seats_.at(one).granter; }
    /// \returns whether a seat's granter has recently sent no answer
    [[nodiscard]] bool is_silent(seat one, instant now) const;
    /// \returns the time until which a granter of a workspace may count this node's vote;
    ///          instant::min() if it has never voted
    [[nodiscard]] instant lent_until(const workspace_name& workspace) const;
    /// \returns the number of equal parts of a limit, one of which is this node's
    [[nodiscard]] std::size_t parts() const;
    /// \brief Adds the votes for all seats of a granter to a message that is sent now.
    void add_votes(const node_id& granter, credit_ask& into, instant now);
    /// \returns all granters
    [[nodiscard]] std::set<node_id> granters() const;

private:
    struct seat_state {
        node_id granter;                     ///< empty: none chosen yet
        instant votes_from{instant::min()};  ///< the vote is withheld before
        instant lent_until{instant::min()};  ///< a granter may count the vote until then
        std::optional<instant> better_since; ///< since when another node is the better choice
    };

    /// \brief Updates one seat after a change of the nodes, or while it waits to change its
    /// granter.
    void update_seat(seat one, const node_id& self, const node_id& best, instant now);
    /// \returns whether this node knows its fleet well enough to vote
    [[nodiscard]] bool knows_fleet(instant now) const;
    static void change_granter(seat_state& state, const node_id& next, instant now);

    std::vector<node_id> live_;         ///< as of the last change
    std::set<node_id> alive_;           ///< the same
    std::vector<std::uint64_t> hashes_; ///< of the ids in live_
    std::array<seat_state, seat_count> seats_;
    std::unordered_map<node_id, instant> silent_until_;

    fleet_size size_;
    instant started_{};     ///< first call of set_nodes()
    instant changed_at_{};  ///< last change of the nodes
    bool has_voted_{false}; ///< a vote was sent
    bool has_granters_{false};
};

} // namespace wigeonrill::quota

#endif
