#include "wigeonrill/peers.h"

#include <bit>

namespace wigeonrill::peers {

namespace {

// Limit the memory that a faulty peer can use. A fleet of 42,000 targets has a few hundred verdicts
// at a time.
constexpr std::size_t max_verdicts = 8'192;
constexpr std::size_t max_crash_marks = 4'096;
constexpr std::size_t max_rate_limits = 8'192;
// Items that expire sooner are not sent. The remaining time is sent as a duration, so each hop
// extends it by the time in transit, and nodes could keep an expired item alive by sending it to
// each other.
constexpr seconds min_remaining{1};
// Verdicts and rate limits are valid for 30 s (design, sections 3.1 and 4). A longer remaining time
// is an error of the sender and is reduced to this limit.
constexpr seconds max_remaining{60};
// Requests with a fingerprint that crashed a target are refused for 10 minutes (design, section
// 5.8).
constexpr std::chrono::minutes crash_mark_lifetime{10};
// Number of already disseminated items that are repeated, per message and kind of item.
constexpr std::size_t repeats_per_message = 3;

// Returns how often an item is sent before it counts as disseminated. Reaching n nodes takes
// log2(n) + 2 rounds with two messages each; half as many again make up for lost datagrams.
std::uint32_t sends_until_disseminated(std::size_t fleet_size) {
    return 3 * (static_cast<std::uint32_t>(std::bit_width(fleet_size)) + 2);
}

// Number of items of each kind that a message holds even if they exceed their share. Two crash
// marks block a request.
constexpr std::size_t guaranteed_items = 1;
constexpr std::size_t guaranteed_marks = 2;

// Room of a message for one kind of item.
class kind_room {
public:
    // The capacity is that of the whole message; appended items reduce it.
    kind_room(std::size_t share, std::size_t guaranteed, std::size_t& capacity)
        : share_(share), guaranteed_(guaranteed), capacity_(&capacity) {}

    // Returns false if the item doesn't fit.
    template <typename Item>
    bool append(std::vector<Item>& items, const Item& item) {
        const auto size = size_bound(item);
        if (size > *capacity_ || (size > share_ && items.size() >= guaranteed_)) {
            return false;
        }
        items.push_back(item);
        share_ -= std::min(share_, size);
        *capacity_ -= size;
        return true;
    }
    [[nodiscard]] std::size_t unused_share() const { return share_; }

private:
    std::size_t share_;
    std::size_t guaranteed_;
    std::size_t* capacity_;
};

} // namespace

// News of a target's leaving is the same from every node.
digest_builder::verdict_key digest_builder::key_of(const health::verdict& item) {
    return {item.target, item.service, health::is_news_of_leaving(item) ? node_id() : item.judge};
}

bool digest_builder::add_if_new(const health::verdict& item, instant now) {
    const auto key = key_of(item);
    const auto it = verdicts_.find(key);
    const bool known = it != verdicts_.end();
    if ((known && !health::is_later(item, it->second)) || item.expires <= now ||
        (!known && verdicts_.size() >= max_verdicts)) {
        return false;
    }
    auto bounded = item;
    bounded.expires = std::min(item.expires, now + max_remaining);
    verdicts_.insert_or_assign(key, bounded);
    verdict_queue_.mark_fresh(key);
    return true;
}

bool digest_builder::add_if_new(const once::crash_mark& item, wall_time now) {
    const crash_mark_key key{item.fingerprint, item.target};
    if (crash_marks_.contains(key) || now - item.observed >= crash_mark_lifetime) {
        return false;
    }
    if (crash_marks_.size() >= max_crash_marks && !replace_lone_mark(item.observed)) {
        return false;
    }
    add_to_lone_marks(key, item.observed);
    crash_marks_.emplace(key, item);
    crash_mark_queue_.mark_fresh(key);
    return true;
}

// Only an older mark is replaced, so that one which was replaced here is not taken again from peers
// that still have it.
bool digest_builder::replace_lone_mark(wall_time observed) {
    if (lone_marks_.empty() || lone_marks_.begin()->first >= observed) {
        return false;
    }
    const auto key = lone_marks_.begin()->second;
    lone_marks_.erase(lone_marks_.begin());
    crash_mark_queue_.erase(key);
    crash_marks_.erase(key);
    return true;
}

void digest_builder::add_to_lone_marks(const crash_mark_key& key, wall_time observed) {
    const auto other = crash_marks_.lower_bound({key.first, target_id()});
    if (other == crash_marks_.end() || other->first.first != key.first) {
        lone_marks_.emplace(observed, key);
    } else {
        lone_marks_.erase({other->second.observed, other->first});
    }
}

bool digest_builder::add_if_new(const health::rate_limit& item, instant now) {
    const auto it = rate_limits_.find(item.target);
    const bool known = it != rate_limits_.end();
    if ((known && !health::supersedes(item, it->second)) || item.expires <= now ||
        (!known && rate_limits_.size() >= max_rate_limits)) {
        return false;
    }
    auto bounded = item;
    bounded.expires = std::min(item.expires, now + max_remaining);
    rate_limits_.insert_or_assign(item.target, bounded);
    rate_limit_queue_.mark_fresh(item.target);
    return true;
}

void digest_builder::expire(instant now, wall_time wall_now) {
    std::erase_if(rate_limits_, [&](const auto& entry) {
        const bool ended = entry.second.expires <= now;
        if (ended) {
            rate_limit_queue_.erase(entry.first);
        }
        return ended;
    });
    std::erase_if(verdicts_, [&](const auto& entry) {
        const bool ended = entry.second.expires <= now;
        if (ended) {
            verdict_queue_.erase(entry.first);
        }
        return ended;
    });
    std::erase_if(crash_marks_, [&](const auto& entry) {
        const bool ended = wall_now - entry.second.observed >= crash_mark_lifetime;
        if (ended) {
            crash_mark_queue_.erase(entry.first);
            lone_marks_.erase({entry.second.observed, entry.first});
        }
        return ended;
    });
}

void digest_builder::fill(message& content, const message_room& room,
                          const digest_context& context) {
    const auto limit = sends_until_disseminated(context.members.all().size() + 1);
    auto capacity = room.largest;
    // Half of the share is for rate limits, half of the rest for verdicts and a fifth for crash
    // marks, so that no kind of item can keep the others out of the message. An unused share is
    // passed on to the next kind.
    kind_room rate_limit_room(room.share / 2, guaranteed_items, capacity);
    rate_limit_queue_.offer_in_order(limit, repeats_per_message, [&](const target_id& target) {
        const auto& item = rate_limits_.at(target);
        return item.expires - context.now < min_remaining ||
               rate_limit_room.append(content.rate_limits, item);
    });
    const auto share = room.share - room.share / 2 + rate_limit_room.unused_share();
    kind_room verdict_room(share / 2, guaranteed_items, capacity);
    verdict_queue_.offer_in_order(limit, repeats_per_message, [&](const verdict_key& key) {
        const auto& item = verdicts_.at(key);
        return item.expires - context.now < min_remaining ||
               verdict_room.append(content.verdicts, item);
    });
    const auto unused = verdict_room.unused_share();
    kind_room mark_room(share / 5 + unused / 2, guaranteed_marks, capacity);
    crash_mark_queue_.offer_in_order(limit, repeats_per_message, [&](const crash_mark_key& key) {
        const auto& item = crash_marks_.at(key);
        const bool ending = context.wall_now - item.observed > crash_mark_lifetime - min_remaining;
        return ending || mark_room.append(content.marks, item);
    });
    const auto member_share = share - share / 2 - share / 5 + unused - unused / 2;
    fill_members(content, {member_share + mark_room.unused_share(), capacity}, context,
                 repeats_per_message);
}

void digest_builder::fill_members(message& content, const message_room& room,
                                  const digest_context& context, std::size_t repeats) {
    std::vector<node_id> gone;
    auto capacity = room.largest;
    kind_room member_room(room.share, guaranteed_items, capacity);
    const auto limit = sends_until_disseminated(context.members.all().size() + 1);
    member_queue_.offer_in_order(limit, repeats, [&](const node_id& id) {
        if (id == context.own_record.id) {
            return member_room.append(content.members, context.own_record);
        }
        const auto* it = context.members.find(id);
        if (it == nullptr) {
            gone.push_back(id);
            return true;
        }
        return member_room.append(content.members, it->record);
    });
    for (const auto& id : gone) {
        member_queue_.erase(id);
    }
}

} // namespace wigeonrill::peers
