#ifndef WIGEONRILL_PEERS_RUMOR_QUEUE_H
#define WIGEONRILL_PEERS_RUMOR_QUEUE_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Order in which items are put into gossip digests.
///
/// Fresh items go first: those sent least often, newest first. An item that was sent often enough
/// to reach every node is settled; settled items are repeated in rotation, which repairs losses and
/// informs new nodes.
/// \tparam Key name of an item
template <typename Key>
class rumor_queue {
public:
    /// \brief Adds an item, or makes a known item fresh again.
    void refresh(const Key& key) {
        erase(key);
        const entry it{0, --next_age_, key};
        fresh_.insert(it);
        index_.insert_or_assign(key, it);
    }
    /// \brief Adds an item that needs no fast spread; a fresh item stays fresh.
    void settle(const Key& key) {
        if (!index_.contains(key) && !settled_.contains(key)) {
            settled_.insert(key);
        }
    }
    /// \brief Removes an item.
    void erase(const Key& key) {
        settled_.erase(key);
        if (const auto it = index_.find(key); it != index_.end()) {
            fresh_.erase(it->second);
            index_.erase(it);
        }
    }
    /// \brief Offers items in order until one is refused.
    /// \param limit how often an item is sent before it is settled
    /// \param settled_share largest number of settled items to offer
    /// \param offer called with a key; returns whether the item was put into the digest
    template <typename Offer>
    void pick(std::uint32_t limit, std::size_t settled_share, const Offer& offer) {
        std::vector<entry> taken;
        bool room = true;
        for (auto it = fresh_.begin(); room && it != fresh_.end(); ++it) {
            room = offer(it->key);
            if (room) {
                taken.push_back(*it);
            }
        }
        for (const auto& it : taken) {
            count_sent(it, limit);
        }
        rotate(room ? settled_share : 0, taken, offer);
    }
    /// \returns number of items
    [[nodiscard]] std::size_t size() const { return index_.size() + settled_.size(); }
    /// \returns number of items that were not yet sent often enough
    [[nodiscard]] std::size_t fresh() const { return fresh_.size(); }

private:
    struct entry {
        std::uint32_t sent{0};
        std::int64_t age{0}; ///< smaller is newer
        Key key;

        friend auto operator<=>(const entry&, const entry&) = default;
    };

    void count_sent(const entry& item, std::uint32_t limit) {
        fresh_.erase(item);
        if (item.sent + 1 >= limit) {
            index_.erase(item.key);
            settled_.insert(item.key);
            return;
        }
        const entry again{item.sent + 1, item.age, item.key};
        fresh_.insert(again);
        index_.insert_or_assign(again.key, again);
    }

    template <typename Offer>
    void rotate(std::size_t share, const std::vector<entry>& taken, const Offer& offer) {
        const auto count = std::min(share, settled_.size());
        auto it = cursor_ ? settled_.upper_bound(*cursor_) : settled_.begin();
        for (std::size_t i = 0; i < count; ++i, ++it) {
            if (it == settled_.end()) {
                it = settled_.begin();
            }
            const bool repeated = std::any_of(taken.begin(), taken.end(),
                                              [&](const entry& e) { return e.key == *it; });
            if (!repeated && !offer(*it)) {
                return;
            }
            cursor_ = *it;
        }
    }

    std::set<entry> fresh_;
    std::map<Key, entry> index_; ///< fresh items by key
    std::set<Key> settled_;
    std::optional<Key> cursor_; ///< last settled item that was offered
    std::int64_t next_age_{0};
};

} // namespace wigeonrill::peers

#endif
