#include "wigeonrill/peers.h"

// Members of gossip_node that tell what it knows about the other nodes.

namespace wigeonrill::peers {

std::vector<health::relay_node> gossip_node::relays() const {
    std::vector<health::relay_node> found;
    for (const auto& it : members_.all()) {
        const auto peer = parse_endpoint(it.record.id.value);
        const bool usable = it.state() == member_state::alive && !it.record.cut_off;
        if (usable && peer && it.record.traffic_port != 0) {
            found.push_back({{peer->ip, it.record.traffic_port}, it.record.checks_keys});
        }
    }
    return found;
}

std::vector<live_node> gossip_node::live_nodes() const {
    std::vector<live_node> out;
    out.reserve(members_.all().size() + 1);
    if (self_.state != member_state::leaving) {
        out.push_back({self_.id, self_.domain});
    }
    for (const auto& it : members_.all()) {
        if (it.state() == member_state::alive) {
            out.push_back({it.record.id, it.record.domain});
        }
    }
    return out;
}

std::vector<member_status> gossip_node::status() const {
    const auto now = clock_.now();
    std::vector<member_status> out;
    out.reserve(members_.all().size());
    for (const auto& it : members_.all()) {
        member_status line{it.record.id,      it.record.domain,      it.state(),  it.record.process,
                           it.config_version, it.record.checks_keys, std::nullopt};
        if (it.last_received) {
            line.since_last_message =
                std::chrono::duration_cast<milliseconds>(now - *it.last_received);
        }
        out.push_back(std::move(line));
    }
    std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    return out;
}

seed_status gossip_node::seeds() const {
    seed_status found;
    if (!settings_.accepts_unlisted_peers) {
        return found;
    }
    std::set<node_id> counted{self_.id};
    for (const auto& seed : settings_.seeds) {
        const node_id id(to_string(seed));
        if (counted.insert(id).second) {
            const auto* it = members_.find(id);
            ++found.known;
            found.heard += it != nullptr && it->record.process != incarnation{} ? 1 : 0;
        }
    }
    return found;
}

std::optional<member_state> gossip_node::state_of(const node_id& peer) const {
    const auto* it = members_.find(peer);
    return it == nullptr ? std::nullopt : std::optional(it->state());
}

std::map<std::uint64_t, std::size_t> gossip_node::peers_by_config_version() const {
    std::map<std::uint64_t, std::size_t> out;
    for (const auto& it : members_.all()) {
        ++out[it.config_version];
    }
    return out;
}

} // namespace wigeonrill::peers
