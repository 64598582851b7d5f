#include "wigeonrill/daemon.h"

// Members of control_loop that follow changes of the fleet's nodes.

namespace wigeonrill::daemon {

using observe::log_level;
using observe::log_line;
using observe::log_subsystem;

void control_loop::update_members() {
    std::vector<health::fleet_node> live;
    std::vector<node_id> ids;
    for (auto& it : dependencies_.gossip->live_nodes()) {
        ids.push_back(it.id);
        live.push_back({it.id, it.domain});
    }
    monitor_.set_nodes(std::move(live));
    const auto& self = dependencies_.gossip->id();
    set_read_sharing_group(platform::choose_read_sharing_group(self, ids));
    set_node_group(routing::choose_node_group(self, ids));
    auto addresses = std::make_shared<peer_addresses>();
    std::vector<node_id> possible_senders;
    peers_by_state_.clear();
    const auto members = dependencies_.gossip->status();
    for (const auto& it : members) {
        const bool heard = it.process != peers::incarnation{};
        if (it.state != peers::member_state::leaving && heard) {
            possible_senders.push_back(it.id);
        }
        ++peers_by_state_[std::string(enum_name(peers::member_state_names, it.state))];
        auto ip = it.id.value.substr(0, it.id.value.rfind(':'));
        if (heard && !it.checks_keys) {
            addresses->vouching.insert(ip);
        }
        addresses->all.insert(std::move(ip));
    }
    peers_ = std::move(addresses);
    dependencies_.dispatcher.set_nodes(dependencies_.gossip->id(), possible_senders);
    update_fleet_size(members, ids);
}

// Any node that this one knows may grant credit elsewhere.
void control_loop::update_fleet_size(const std::vector<peers::member_status>& members,
                                     const std::vector<node_id>& live) {
    const auto now = dependencies_.clock.now();
    const bool was_complete = census_.size().is_complete;
    const auto heard = std::ranges::count_if(
        members, [](const peers::member_status& it) { return it.process != peers::incarnation{}; });
    const auto seeds = dependencies_.gossip->seeds();
    quota::fleet_contacts contacts;
    contacts.known = members.size();
    contacts.heard = static_cast<std::size_t>(heard);
    contacts.live = live.size() - std::ranges::count(live, dependencies_.gossip->id());
    contacts.seeds = seeds.known;
    contacts.seeds_heard = seeds.heard;
    census_.update(contacts, now);
    const auto size = census_.size();
    if (size.is_complete && !was_complete) {
        write_log(log_level::info, log_subsystem::peers,
                  log_line("The whole fleet is known.")
                      .with("nodes", static_cast<std::int64_t>(size.known))
                      .with("seeds", static_cast<std::int64_t>(seeds.known))
                      .with("seeds_heard", static_cast<std::int64_t>(seeds.heard)));
    }
    granter_.set_fleet_size(size, now);
    dependencies_.dispatcher.set_credit_nodes(dependencies_.gossip->id(), live, size);
}

void control_loop::set_node_group(routing::node_group next) {
    if (next.position != group_.position) {
        write_log(log_level::info, log_subsystem::peers,
                  log_line("The group that uses the same targets changed.")
                      .with("index", static_cast<std::int64_t>(next.position.index))
                      .with("groups", static_cast<std::int64_t>(next.position.count))
                      .with("nodes", static_cast<std::int64_t>(next.position.nodes)));
        dependencies_.dispatcher.set_group(next.position);
    }
    group_ = std::move(next);
}

} // namespace wigeonrill::daemon
