#include "wigeonrill/health.h"

#include <algorithm>
#include <set>

namespace wigeonrill::health {

fleet_nodes::fleet_nodes(std::vector<fleet_node> live) : live_(std::move(live)) {
    std::sort(live_.begin(), live_.end(),
              [](const auto& left, const auto& right) { return left.id < right.id; });
    std::set<domain_name> names;
    for (const auto& it : live_) {
        hashes_.push_back(stable_hash(it.id.value));
        names.insert(it.domain);
    }
    domains_ = names.size();
}

bool fleet_nodes::contains(const node_id& node) const {
    const auto it = std::lower_bound(
        live_.begin(), live_.end(), node,
        [](const fleet_node& left, const node_id& right) { return left.id < right; });
    return it != live_.end() && it->id == node;
}

std::vector<node_id> fleet_nodes::aggregators(const target_id& target) const {
    const auto key = stable_hash(target.value);
    const auto best = [&](const auto& allowed) {
        std::size_t winner = live_.size();
        std::uint64_t highest = 0;
        for (std::size_t i = 0; i < live_.size(); ++i) {
            const auto score = rendezvous_score(key, hashes_[i]);
            if (allowed(live_[i]) && (winner == live_.size() || score > highest)) {
                winner = i;
                highest = score;
            }
        }
        return winner;
    };
    std::vector<node_id> chosen;
    const auto first = best([](const fleet_node&) { return true; });
    if (first == live_.size()) {
        return chosen;
    }
    chosen.push_back(live_[first].id);
    auto second = best([&](const fleet_node& it) { return it.domain != live_[first].domain; });
    if (second == live_.size()) {
        second = best([&](const fleet_node& it) { return it.id != live_[first].id; });
    }
    if (second != live_.size()) {
        chosen.push_back(live_[second].id);
    }
    return chosen;
}

} // namespace wigeonrill::health
