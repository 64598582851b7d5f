#include "wigeonrill/peers.h"

#include <bit>

namespace wigeonrill::peers {

namespace {

// Bounds against a faulty peer; 42,000 targets have a few hundred verdicts at a time.
constexpr std::size_t max_verdicts = 8'192;
constexpr std::size_t max_marks = 4'096;
// What expires sooner is not sent. Each hop adds its time in transit to what remains, and nodes
// could return an expired item to each other for good.
constexpr seconds min_remaining{1};
// Verdicts last 30 s (design, section 3.1); a longer one is a fault of its sender.
constexpr seconds max_remaining{60};
// A fingerprint is refused for 10 minutes (design, section 5.8).
constexpr std::chrono::minutes mark_lifetime{10};
// Settled items repeated per message and kind.
constexpr std::size_t settled_share = 3;

// Sends until an item has reached every node: two per round, log2(n) + 2 rounds, half as many again
// for lost datagrams.
std::uint32_t repeat_limit(std::size_t fleet_size) {
    return 3 * (static_cast<std::uint32_t>(std::bit_width(fleet_size)) + 2);
}

// Adds an item if it fits into the room that is left.
template <typename Item>
bool put(std::vector<Item>& items, const Item& item, std::size_t& room) {
    const auto size = size_bound(item);
    if (size > room) {
        return false;
    }
    items.push_back(item);
    room -= size;
    return true;
}

} // namespace

bool digest_builder::learn(const health::verdict& item, instant now) {
    const verdict_key key{item.target, item.service, item.judge};
    const auto it = verdicts_.find(key);
    const bool known = it != verdicts_.end();
    if ((known && item.sequence <= it->second.sequence) || item.expires <= now ||
        (!known && verdicts_.size() >= max_verdicts)) {
        return false;
    }
    auto bounded = item;
    bounded.expires = std::min(item.expires, now + max_remaining);
    verdicts_.insert_or_assign(key, bounded);
    verdict_order_.refresh(key);
    return true;
}

bool digest_builder::learn(const once::crash_mark& item, wall_time now) {
    const mark_key key{item.fingerprint, item.target};
    if (marks_.contains(key) || marks_.size() >= max_marks ||
        now - item.observed >= mark_lifetime) {
        return false;
    }
    marks_.emplace(key, item);
    mark_order_.refresh(key);
    return true;
}

void digest_builder::expire(instant now, wall_time wall_now) {
    std::erase_if(verdicts_, [&](const auto& entry) {
        const bool ended = entry.second.expires <= now;
        if (ended) {
            verdict_order_.erase(entry.first);
        }
        return ended;
    });
    std::erase_if(marks_, [&](const auto& entry) {
        const bool ended = wall_now - entry.second.observed >= mark_lifetime;
        if (ended) {
            mark_order_.erase(entry.first);
        }
        return ended;
    });
}

void digest_builder::fill(message& content, std::size_t room, const digest_view& view) {
    const auto limit = repeat_limit(view.members.all().size() + 1);
    // Half for verdicts and a fifth for marks, so that no kind of news holds up another.
    auto verdict_room = room / 2;
    auto mark_room = room / 5;
    auto member_room = room - verdict_room - mark_room;
    verdict_order_.pick(limit, settled_share, [&](const verdict_key& key) {
        const auto& item = verdicts_.at(key);
        return item.expires - view.now < min_remaining || put(content.verdicts, item, verdict_room);
    });
    mark_room += verdict_room / 2;
    member_room += verdict_room - verdict_room / 2;
    mark_order_.pick(limit, settled_share, [&](const mark_key& key) {
        const auto& item = marks_.at(key);
        const bool ending = view.wall_now - item.observed > mark_lifetime - min_remaining;
        return ending || put(content.marks, item, mark_room);
    });
    fill_members(content, member_room + mark_room, view, settled_share);
}

void digest_builder::fill_members(message& content, std::size_t room, const digest_view& view,
                                  std::size_t repeats) {
    std::vector<node_id> gone;
    const auto limit = repeat_limit(view.members.all().size() + 1);
    members_.pick(limit, repeats, [&](const node_id& id) {
        if (id == view.own.id) {
            return put(content.members, view.own, room);
        }
        const auto* it = view.members.find(id);
        if (it == nullptr) {
            gone.push_back(id);
            return true;
        }
        return put(content.members, it->record, room);
    });
    for (const auto& id : gone) {
        members_.erase(id);
    }
}

} // namespace wigeonrill::peers
