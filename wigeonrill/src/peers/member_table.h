#ifndef WIGEONRILL_PEERS_MEMBER_TABLE_H
#define WIGEONRILL_PEERS_MEMBER_TABLE_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief What this node knows about another node.
struct member {
    member_record record;
    bool listed{false};                   ///< whether it is a seed or in the platform's list
    bool listed_as_leaving{false};        ///< whether the platform's list marks it as leaving
    bool unreachable{false};              ///< did not answer this node's latest probe
    std::uint64_t config_version{0};      ///< newest configuration version that it announced
    std::optional<instant> last_received; ///< time at which its last message arrived; nothing: none
    /// Suspect: time at which it is declared dead; dead or leaving: time at which it is removed.
    instant state_deadline{};
    instant no_suspicion_before{}; ///< this node doesn't suspect it before this time
    link_state link;

    /// \returns the state in the record, combined with what this node knows about the link
    [[nodiscard]] member_state state() const;
};

/// \brief Result of merging a record into the table.
enum class merge_outcome : std::uint8_t {
    unchanged, ///< the record holds nothing new
    older,     ///< the table holds a newer record of the same node
    first,     ///< the record is the first one of a listed node
    changed,   ///< the record changed the table and must be disseminated
    refused    ///< the table is full, or the node is new but dead, leaving or not a valid address
};

/// \brief Table of all members of the fleet except this node.
///
/// A record of a newer incarnation replaces one of an older incarnation, whatever their states. For
/// the same incarnation the higher epoch takes precedence, and for the same epoch the worse state.
class member_table {
public:
    /// \brief Largest number of members; limits the memory that forged records can use.
    static constexpr std::size_t max_members = 8'192;

    explicit member_table(node_id self) : self_(std::move(self)) {}

    /// \brief Replaces the listed nodes, which are the seeds and the nodes in the platform's list.
    void set_listed(const std::vector<config::vm_record>& nodes, instant now);
    /// \brief Merges a record that was received, or derived from a received message.
    merge_outcome merge(const member_record& record, instant now);
    /// \brief Marks an alive member as suspect because it did not answer this node.
    /// \returns whether its record changed and must be disseminated
    bool suspect(const node_id& id, instant now);
    /// \brief Declares suspects dead whose time to refute is over, and removes members that aren't
    ///        listed and were dead or leaving for long enough.
    /// \returns the nodes that were declared dead
    std::vector<node_id> expire(instant now);
    /// \brief Extends all timers by a pause of this process, in which it couldn't receive a
    /// refutation.
    void shift_timers(instant::duration pause);

    /// \returns the member, or null if there is none with this id
    [[nodiscard]] member* find(const node_id& id);
    /// \copydoc find
    [[nodiscard]] const member* find(const node_id& id) const;
    /// \returns all members, in no particular order
    [[nodiscard]] const std::vector<member>& all() const { return members_; }
    /// \brief Chooses a random member to contact.
    /// \param responsive true: one that is alive or suspect; false: one that is dead or one_way
    /// \param except members that are not chosen
    /// \returns its id; nothing if there is no such member
    [[nodiscard]] std::optional<node_id> choose(random_source& random, bool responsive,
                                                const std::set<node_id>& except) const;
    /// \returns the time in which a suspect can refute the suspicion: twice the time that gossip
    ///          needs to reach the whole fleet
    [[nodiscard]] milliseconds suspicion_timeout() const;

private:
    /// \returns the new member, or null if the table is full
    member* add(const member_record& record);
    void set_state(member& it, member_state state, instant now) const;
    /// Removes unlisted members that were never heard of, or dead or leaving for long enough.
    void erase_expired(instant now);

    node_id self_;
    std::vector<member> members_;
    std::unordered_map<node_id, std::size_t> index_;
};

} // namespace wigeonrill::peers

#endif
