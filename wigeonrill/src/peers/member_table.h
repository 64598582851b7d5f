#ifndef WIGEONRILL_PEERS_MEMBER_TABLE_H
#define WIGEONRILL_PEERS_MEMBER_TABLE_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Another node with what this node knows about it.
struct member {
    member_record record;
    bool listed{false};              ///< in the seeds or in the platform's list
    bool list_says_leaving{false};   ///< the platform's list marks it as leaving
    bool unreachable{false};         ///< did not answer us, but others contradicted our suspicion
    std::uint64_t config_version{0}; ///< last version it told us
    std::optional<instant> heard;    ///< when its last message arrived
    instant deadline{};              ///< suspect: when it is dead; dead: when it is forgotten
    instant quiet_until{};           ///< no new suspicion by this node before
    link_state link;

    /// \returns the state with the local view of the link
    [[nodiscard]] member_state state() const;
};

/// \brief What became of a record offered to the table.
enum class merge_outcome : std::uint8_t {
    unchanged, ///< nothing new
    older,     ///< the table holds a newer record of this node
    first,     ///< first news of a listed node
    changed,   ///< news that must spread
    refused    ///< the table is full, or the record is of a node that is gone
};

/// \brief Members of the fleet except this node.
///
/// A record with a newer process replaces one with an older, whatever their states. Of one process
/// the higher epoch wins, and at the same epoch the worse state.
class member_table {
public:
    /// \brief Largest number of members; a bound against hostile records.
    static constexpr std::size_t max_members = 8'192;

    explicit member_table(node_id self) : self_(std::move(self)) {}

    /// \brief Replaces the listed nodes (seeds and platform's list).
    void set_listed(const std::vector<config::vm_record>& nodes, instant now);
    /// \brief Offers a record.
    /// \param now time of the event
    merge_outcome merge(const member_record& record, instant now);
    /// \brief Marks a member as suspect because it did not answer this node.
    /// \returns whether this is news that must spread
    bool suspect(const node_id& id, instant now);
    /// \brief Moves suspects to dead and forgets dead nodes that are not listed.
    /// \returns the nodes that became dead
    std::vector<node_id> expire(instant now);
    /// \brief Moves all timers after an own pause, in which nobody could contradict.
    void excuse(instant::duration pause);

    /// \returns the member, or null
    [[nodiscard]] member* find(const node_id& id);
    /// \copydoc find
    [[nodiscard]] const member* find(const node_id& id) const;
    /// \returns all members, in no particular order
    [[nodiscard]] const std::vector<member>& all() const { return members_; }
    /// \brief Chooses a random member to talk to.
    /// \param responsive true: alive or suspect; false: dead, one_way or unreachable
    /// \param except members not to choose
    [[nodiscard]] std::optional<node_id> choose(random_source& random, bool responsive,
                                                const std::set<node_id>& except) const;
    /// \returns how long a suspect may contradict: two spreads of news through the fleet
    [[nodiscard]] milliseconds suspicion_time() const;

private:
    member* add(const member_record& record);
    void set_state(member& it, member_state state, instant now) const;
    void erase_if_gone(instant now);

    node_id self_;
    std::vector<member> members_;
    std::unordered_map<node_id, std::size_t> index_;
};

} // namespace wigeonrill::peers

#endif
