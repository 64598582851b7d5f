#include "wigeonrill/peers.h"

namespace wigeonrill::peers {

namespace {

// The budget of two seconds may be sent at once, so that evidence of a sick target isn't delayed.
constexpr double burst_seconds = 2;
// A gossip message uses at most an eighth of the available bytes. At 4 messages/s the level of the
// budget then settles where gossip and evidence together use the whole budget.
constexpr double gossip_share = 0.125;
constexpr std::size_t min_gossip_items = 150;
// A node receives 2 gossip requests/s on average, and up to 12 times as many when lost requests are
// retried. A higher rate is due to a fault, and the excess isn't answered.
constexpr double replies_per_second = 25;
constexpr double reply_burst = 50;
// Number of peers that are informed at once when a node or target leaves, a request crashed a
// target, or a version of the configuration came into force.
constexpr int immediate_receivers = 6;
// Changed member records are forwarded to three peers at once, which reaches 94 % of the nodes in a
// few hops; the gossip rounds reach the rest. In a fleet of the planned size 0.4 changes/s are
// usual.
constexpr int forward_fanout = 3;
constexpr double forwards_per_second = 4;
constexpr double forward_burst = 12;
constexpr std::size_t forward_room = 160;

message_room gossip_room(double level, const domain_name& domain) {
    constexpr std::size_t max_room = max_datagram_bytes - header_size_bound;
    const auto share = static_cast<std::size_t>(std::max(0.0, level * gossip_share));
    const auto room = std::clamp(share, min_gossip_items, max_room);
    return {room - std::min(room, domain.value.size()), max_room - domain.value.size()};
}

} // namespace

gossip_node::gossip_node(gossip_settings settings, const clock_source& clock, random_source& random)
    : settings_(std::move(settings)), clock_(clock),
      random_(random), self_{node_id(to_string(settings_.address)),
                             settings_.domain,
                             settings_.process,
                             0,
                             member_state::alive,
                             settings_.traffic_port,
                             false,
                             true},
      members_(self_.id), byte_budget_(settings_.bytes_per_second,
                                       settings_.bytes_per_second * burst_seconds, clock.now()),
      load_budget_(settings_.load_bytes_per_second, settings_.load_bytes_per_second * burst_seconds,
                   clock.now()),
      reply_budget_(replies_per_second, reply_burst, clock.now()),
      forward_budget_(forwards_per_second, forward_burst, clock.now()),
      fetches_(random, clock.now()) {
    update_listed_members(clock.now());
    // The random phase keeps nodes that are started together from sending at the same time.
    next_gossip_ = clock.now() + gossip_interval * random.next_below(1'000) / 1'000;
}

void gossip_node::update_listed_members(instant now) {
    auto listed = vms_;
    for (const auto& seed : settings_.seeds) {
        const bool in_list = std::any_of(vms_.begin(), vms_.end(),
                                         [&](const auto& it) { return it.address == seed; });
        if (!in_list) {
            listed.push_back({seed, {}, config::vm_role::node, config::vm_state::live});
        }
    }
    members_.set_listed(listed, now);
}

void gossip_node::set_vms(const std::vector<config::vm_record>& vms) {
    vms_ = vms;
    update_listed_members(clock_.now());
}

void gossip_node::set_config(std::uint64_t version, std::string_view digest) {
    if (version <= config_version_) {
        return;
    }
    config_version_ = version;
    config_digest_ = stable_hash(digest);
    confirmed_ = {};
    fetches_.set_version(version);
    announce_config(clock_.now());
}

void gossip_node::announce_config(instant now) {
    std::set<node_id> contacted;
    for (int i = 0; i < immediate_receivers; ++i) {
        const auto peer = members_.choose(random_, true, contacted);
        if (!peer) {
            return;
        }
        contacted.insert(*peer);
        // A reply, since nothing is expected in return.
        send_gossip(*peer, message_kind::gossip_reply, now);
    }
}

void gossip_node::confirm_by_platform(wall_time when) {
    update_confirmed(when);
}

void gossip_node::update_confirmed(wall_time when) {
    confirmed_ = std::max(confirmed_, std::min(when, clock_.wall_now()));
}

void gossip_node::reject_config(std::uint64_t version) {
    fetches_.reject_version(version);
}

void gossip_node::fetch_finished(const node_id& peer, bool answered) {
    fetches_.request_finished(peer, answered, clock_.now());
}

void gossip_node::fetch_refused(const node_id& peer) {
    fetches_.request_refused(peer, clock_.now());
}

void gossip_node::fetch_cancelled(const node_id& peer) {
    fetches_.request_cancelled(peer);
}

bool gossip_node::is_fetch_needed(const node_id& peer) const {
    return fetches_.is_request_needed(peer);
}

void gossip_node::fetch_progressed(const node_id& peer) {
    fetches_.request_progressed(peer, clock_.now());
}

void gossip_node::handle_base_mismatch(const fetch_request& request, std::uint64_t version) {
    fetches_.handle_base_mismatch(request, version);
}

void gossip_node::announce_leaving() {
    if (self_.state == member_state::leaving) {
        return;
    }
    self_.state = member_state::leaving;
    digest_.mark_fresh(self_.id);
    gossip_immediately(clock_.now());
}

void gossip_node::announce_cut_off(bool cut_off) {
    if (self_.cut_off == cut_off) {
        return;
    }
    self_.cut_off = cut_off;
    ++self_.epoch;
    digest_.mark_fresh(self_.id);
    gossip_immediately(clock_.now());
}

void gossip_node::gossip_immediately(instant now) {
    std::set<node_id> contacted;
    for (int i = 0; i < immediate_receivers; ++i) {
        const auto peer = members_.choose(random_, true, contacted);
        if (!peer) {
            return;
        }
        contacted.insert(*peer);
        send_gossip(*peer, message_kind::gossip_request, now);
    }
}

void gossip_node::send_gossip(const node_id& to, message_kind kind, instant now,
                              bool include_record) {
    message content;
    content.kind = kind;
    content.domain = self_.domain;
    content.config_digest = config_digest_;
    if (confirmed_ != wall_time{}) {
        content.confirmed = confirmed_;
    }
    auto room = gossip_room(byte_budget_.level(), self_.domain);
    // A peer that isn't alive in the table gets its own record, because only the peer itself can
    // refute it. The record also tells an old process that a newer one runs at its address.
    const auto* peer = members_.find(to);
    if (peer != nullptr && (include_record || peer->record.state != member_state::alive)) {
        content.members.push_back(peer->record);
        const auto size = size_bound(peer->record);
        room.share -= std::min(room.share, size);
        room.largest -= std::min(room.largest, size);
    }
    digest_.fill(content, room, {members_, self_, now, clock_.wall_now()});
    send(to, std::move(content), now);
}

void gossip_node::forward_member_changes(instant now) {
    forward_budget_.refill(now);
    if (!std::exchange(member_changes_pending_, false) || forward_budget_.level() < 1) {
        return;
    }
    forward_budget_.charge(1);
    std::set<node_id> contacted;
    for (int i = 0; i < forward_fanout; ++i) {
        const auto peer = members_.choose(random_, true, contacted);
        if (!peer) {
            return;
        }
        contacted.insert(*peer);
        message content;
        content.kind = message_kind::gossip_reply;
        digest_.fill_members(content, {forward_room, forward_room},
                             {members_, self_, now, clock_.wall_now()}, 0);
        send(*peer, std::move(content), now);
    }
}

void gossip_node::reply(const node_id& to, instant now, bool include_record) {
    reply_budget_.refill(now);
    if (reply_budget_.level() >= 1) {
        reply_budget_.charge(1);
        send_gossip(to, message_kind::gossip_reply, now, include_record);
    }
}

void gossip_node::send(const node_id& to, message content, instant now) {
    auto* peer = members_.find(to);
    if (peer == nullptr) {
        return;
    }
    content.process = self_.process;
    content.epoch = self_.epoch;
    content.leaving = self_.state == member_state::leaving;
    content.traffic_port = self_.traffic_port;
    content.cut_off = self_.cut_off;
    content.checks_keys = self_.checks_keys;
    content.config_version = config_version_;
    content.sequence = peer->link.next_sequence(now);
    content.echo = peer->link.last_received_sequence();
    // The budget is charged with an upper bound. The exact size is known only after encoding, when
    // count_sent() corrects the charge.
    std::size_t bytes = datagram_overhead_bytes + header_size_bound / 2;
    const auto add = [&](const auto& items) {
        for (const auto& it : items) {
            bytes += size_bound(it);
        }
    };
    add(content.members);
    add(content.verdicts);
    add(content.marks);
    add(content.rate_limits);
    add(content.evidence);
    add(content.observations);
    budget_of(content).charge(bytes);
    outgoing_.push_back({to, std::move(content), bytes});
}

token_bucket& gossip_node::budget_of(const message& content) {
    const bool counts = std::ranges::any_of(content.observations,
                                            [](const auto& it) { return it.outstanding >= 0; });
    const bool has_load_budget = settings_.load_bytes_per_second > 0.0;
    const bool is_credit = content.kind == message_kind::credit && has_load_budget;
    return counts || is_credit ? load_budget_ : byte_budget_;
}

std::vector<outgoing_message> gossip_node::take_outgoing() {
    return std::exchange(outgoing_, {});
}

inbox gossip_node::take_inbox() {
    return std::exchange(inbox_, {});
}

std::optional<fetch_request> gossip_node::take_fetch_request() {
    return fetches_.next_request(clock_.now(), [this](const std::set<node_id>& except) {
        return members_.choose(random_, true, except);
    });
}

void gossip_node::count_drop(drop_reason reason, std::size_t bytes) {
    counters_.drop(reason);
    ++counters_.datagrams_received;
    counters_.bytes_received += bytes + datagram_overhead_bytes;
}

void gossip_node::count_sent(const outgoing_message& sent, std::size_t bytes) {
    auto& budget = budget_of(sent.content);
    budget.refund(sent.charged_bytes);
    if (bytes == 0) {
        ++counters_.send_failures;
        return;
    }
    budget.charge(bytes + datagram_overhead_bytes);
    ++counters_.datagrams_sent;
    counters_.bytes_sent += bytes + datagram_overhead_bytes;
}

void gossip_node::count_transfer(std::size_t sent, std::size_t received) {
    counters_.transfer_bytes_sent += sent;
    counters_.transfer_bytes_received += received;
    byte_budget_.refill(clock_.now());
    byte_budget_.charge(sent);
}

} // namespace wigeonrill::peers
