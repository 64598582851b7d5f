#ifndef WIGEONRILL_PEERS_RUMOR_QUEUE_H
#define WIGEONRILL_PEERS_RUMOR_QUEUE_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Order in which items are put into gossip messages.
///
/// Fresh items come first: those that were sent least often, and among them the newest. An item
/// that was sent often enough to reach every node counts as disseminated. Disseminated items are
/// repeated in rotation, which makes up for lost datagrams and informs nodes that join later.
/// \tparam Key identifies an item
template <typename Key>
class rumor_queue {
public:
    /// \brief Adds an item as fresh, or makes a known item fresh again.
    void mark_fresh(const Key& key) {
        erase(key);
        const entry it{0, --last_insertion_order_, key};
        fresh_.insert(it);
        index_.insert_or_assign(key, it);
    }
    /// \brief Adds an item as already disseminated; a fresh item stays fresh.
    void add_disseminated(const Key& key) {
        if (!index_.contains(key) && !disseminated_.contains(key)) {
            disseminated_.insert(key);
        }
    }
    /// \brief Removes an item.
    void erase(const Key& key) {
        disseminated_.erase(key);
        if (const auto it = index_.find(key); it != index_.end()) {
            fresh_.erase(it->second);
            index_.erase(it);
        }
    }
    /// \brief Offers items in order until one is refused.
    /// \param limit number of times that an item is sent before it counts as disseminated
    /// \param max_repeats largest number of disseminated items to offer
    /// \param offer called with a key; returns whether the item was put into the message
    template <typename Offer>
    void offer_in_order(std::uint32_t limit, std::size_t max_repeats, const Offer& offer) {
        std::vector<entry> accepted;
        bool room = true;
        for (auto it = fresh_.begin(); room && it != fresh_.end(); ++it) {
            room = offer(it->key);
            if (room) {
                accepted.push_back(*it);
            }
        }
        for (const auto& it : accepted) {
            count_sent(it, limit);
        }
        repeat_disseminated(room ? max_repeats : 0, accepted, offer);
    }
    /// \returns the number of items
    [[nodiscard]] std::size_t size() const { return index_.size() + disseminated_.size(); }
    /// \returns the number of items that were not yet sent often enough
    [[nodiscard]] std::size_t fresh_count() const { return fresh_.size(); }

private:
    struct entry {
        std::uint32_t sent{0};           ///< number of times that the item was sent
        std::int64_t insertion_order{0}; ///< smaller for newer items, so that they sort first
        Key key;

        friend auto operator<=>(const entry&, const entry&) = default;
    };

    void count_sent(const entry& item, std::uint32_t limit) {
        fresh_.erase(item);
        if (item.sent + 1 >= limit) {
            index_.erase(item.key);
            disseminated_.insert(item.key);
            return;
        }
        const entry again{item.sent + 1, item.insertion_order, item.key};
        fresh_.insert(again);
        index_.insert_or_assign(again.key, again);
    }

    template <typename Offer>
    void repeat_disseminated(std::size_t max_items, const std::vector<entry>& accepted,
                             const Offer& offer) {
        const auto count = std::min(max_items, disseminated_.size());
        auto it = cursor_ ? disseminated_.upper_bound(*cursor_) : disseminated_.begin();
        for (std::size_t i = 0; i < count; ++i, ++it) {
            if (it == disseminated_.end()) {
                it = disseminated_.begin();
            }
            const bool repeated = std::any_of(accepted.begin(), accepted.end(),
                                              [&](const entry& e) { return e.key == *it; });
            if (!repeated && !offer(*it)) {
                return;
            }
            cursor_ = *it;
        }
    }

    std::set<entry> fresh_;      ///< items not yet sent often enough, in the order of sending
    std::map<Key, entry> index_; ///< the entries of fresh_ by key
    std::set<Key> disseminated_; ///< items sent often enough
    std::optional<Key> cursor_;  ///< last disseminated item that was offered
    std::int64_t last_insertion_order_{0};
};

} // namespace wigeonrill::peers

#endif
