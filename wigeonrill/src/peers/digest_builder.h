#ifndef WIGEONRILL_PEERS_DIGEST_BUILDER_H
#define WIGEONRILL_PEERS_DIGEST_BUILDER_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief What a digest is made from besides the news.
struct digest_view {
    const member_table& members;
    const member_record& own; ///< record of this node
    instant now;
    wall_time wall_now;
};

/// \brief News that a node holds and repeats: verdicts, crash marks, and changes of members.
class digest_builder {
public:
    /// \brief Offers a verdict; the one with the higher sequence of a judge on a target is kept.
    /// \returns whether it is news
    bool learn(const health::verdict& item, instant now);
    /// \brief Offers a crash mark.
    /// \returns whether it is news
    bool learn(const once::crash_mark& item, wall_time now);
    /// \brief Marks the record of a member as news.
    void refresh(const node_id& id) { members_.refresh(id); }
    /// \brief Lets the record of a member be repeated without hurry.
    void settle(const node_id& id) { members_.settle(id); }
    /// \brief Drops verdicts and crash marks whose time has passed.
    void expire(instant now, wall_time wall_now);
    /// \brief Fills a gossip message with all kinds of news.
    /// \param room bytes for items
    void fill(message& content, std::size_t room, const digest_view& view);
    /// \brief Fills a message with news of members only.
    /// \param room bytes for items
    /// \param repeats largest number of records that are no longer news
    void fill_members(message& content, std::size_t room, const digest_view& view,
                      std::size_t repeats);

    /// \returns number of verdicts held
    [[nodiscard]] std::size_t verdict_count() const { return verdicts_.size(); }
    /// \returns number of crash marks held
    [[nodiscard]] std::size_t mark_count() const { return marks_.size(); }

private:
    using verdict_key = std::tuple<target_id, service_name, node_id>;
    using mark_key = std::pair<std::uint64_t, target_id>;

    std::map<verdict_key, health::verdict> verdicts_;
    std::map<mark_key, once::crash_mark> marks_;
    rumor_queue<verdict_key> verdict_order_;
    rumor_queue<mark_key> mark_order_;
    rumor_queue<node_id> members_;
};

} // namespace wigeonrill::peers

#endif
