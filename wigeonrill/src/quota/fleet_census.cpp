#include "wigeonrill/quota.h"

#include <algorithm>

namespace wigeonrill::quota {

namespace {

// Gossip has told a node of all others when it has learned of none for this long, or at the latest
// after the joining time.
constexpr milliseconds quiet_time{750};
constexpr seconds joining_time{3};
// Time after which a seed that nobody has heard counts as gone, as other nodes are
// forgotten.
constexpr std::chrono::minutes seed_memory{10};

} // namespace

bool fleet_census::has_met_fleet(instant now) const {
    if (contacts_.heard == 0 && contacts_.seeds > 0) {
        return false;
    }
    return contacts_.seeds_heard >= contacts_.seeds || now >= *started_ + seed_memory;
}

void fleet_census::update(const fleet_contacts& contacts, instant now) {
    if (!started_) {
        started_ = now;
        grown_at_ = now;
    }
    if (contacts.heard > contacts_.heard) {
        grown_at_ = now;
    }
    const auto known_before = contacts_.known;
    contacts_ = contacts;
    if (contacts.live == 0) {
        contacts_.known = std::max(contacts.known, known_before);
    }
    if (is_complete_ || !has_met_fleet(now)) {
        return;
    }
    met_at_ = met_at_.value_or(now);
    is_complete_ = now >= *met_at_ + joining_time ||
                   (now >= *met_at_ + quiet_time && now >= grown_at_ + quiet_time);
}

fleet_size fleet_census::size() const {
    return {contacts_.known + 1, max_nodes_, is_complete_};
}

} // namespace wigeonrill::quota
