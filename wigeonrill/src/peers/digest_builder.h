#ifndef WIGEONRILL_PEERS_DIGEST_BUILDER_H
#define WIGEONRILL_PEERS_DIGEST_BUILDER_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief State that digest_builder reads while it fills a message.
struct digest_context {
    const member_table& members;     ///< source of the records of other nodes
    const member_record& own_record; ///< record of this node
    instant now;
    wall_time wall_now;
};

/// \brief Room for the items of one gossip message, in bytes of their encoded sizes.
struct message_room {
    std::size_t share{0};   ///< part of the byte budget that the items may use
    std::size_t largest{0}; ///< what the datagram can hold
};

/// \brief Holds the items that this node disseminates by gossip (verdicts, crash marks, rate
/// limits and member records) and chooses those that go into the next message.
class digest_builder {
public:
    /// \brief Adds a verdict. Of each judge only the latest verdict is kept per target, and of all
    ///        judges only the latest news of its leaving.
    /// \returns whether it was added; false if it is expired, not later than the one held, or there
    ///          is no space
    bool add_if_new(const health::verdict& item, instant now);
    /// \brief Adds a crash mark. If there is no space, it replaces the oldest one of a request that
    ///        has no other mark.
    /// \returns whether it was added; false if it is already held, too old, or there is no space
    bool add_if_new(const once::crash_mark& item, wall_time now);
    /// \brief Adds a rate limit. Of each target only the latest one is kept.
    /// \returns whether it was added; false if it is expired, doesn't supersede the one held, or
    ///          there is no space
    bool add_if_new(const health::rate_limit& item, instant now);
    /// \brief Schedules the record of a member to be sent in the next messages, because it changed.
    void mark_fresh(const node_id& id) { member_queue_.mark_fresh(id); }
    /// \brief Adds the record of a member to those that are only repeated in rotation; a record
    ///        that is still scheduled as changed stays so.
    void add_disseminated(const node_id& id) { member_queue_.add_disseminated(id); }
    /// \brief Removes expired verdicts, crash marks and rate limits.
    void expire(instant now, wall_time wall_now);
    /// \brief Adds verdicts, crash marks, rate limits and member records to a gossip message.
    ///
    /// Each kind of item gets a part of the share. A few items of each kind are added even if they
    /// exceed it, so that no kind has to wait while the byte budget is used up.
    void fill(message& content, const message_room& room, const digest_context& context);
    /// \brief Adds member records to a gossip message, at least one if there is any.
    /// \param repeats largest number of records that were already sent often enough
    void fill_members(message& content, const message_room& room, const digest_context& context,
                      std::size_t repeats);

    /// \returns the number of verdicts held
    [[nodiscard]] std::size_t verdict_count() const { return verdicts_.size(); }
    /// \returns the number of crash marks held
    [[nodiscard]] std::size_t crash_mark_count() const { return crash_marks_.size(); }

private:
    using verdict_key = std::tuple<target_id, service_name, node_id>;
    using crash_mark_key = std::pair<std::uint64_t, target_id>;

    [[nodiscard]] static verdict_key key_of(const health::verdict& item);
    /// \returns false if there is no older mark to replace
    bool replace_lone_mark(wall_time observed);
    /// \brief Updates lone_marks_ for a mark that is about to be added.
    void add_to_lone_marks(const crash_mark_key& key, wall_time observed);

    std::map<verdict_key, health::verdict> verdicts_;        ///< held until they expire
    std::map<crash_mark_key, once::crash_mark> crash_marks_; ///< held until they expire
    std::map<target_id, health::rate_limit> rate_limits_;    ///< held until they expire
    /// Marks of requests that have no other mark, oldest first. Marks from two targets block a
    /// request, so they are not replaced.
    std::set<std::pair<wall_time, crash_mark_key>> lone_marks_;
    rumor_queue<verdict_key> verdict_queue_;
    rumor_queue<crash_mark_key> crash_mark_queue_;
    rumor_queue<target_id> rate_limit_queue_;
    rumor_queue<node_id> member_queue_;
};

} // namespace wigeonrill::peers

#endif
