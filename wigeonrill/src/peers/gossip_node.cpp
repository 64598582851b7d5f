#include "wigeonrill/peers.h"

namespace wigeonrill::peers {

namespace {

// Two seconds of budget may be sent at once, so that a sick target's evidence doesn't wait.
constexpr double burst_seconds = 2;
// A gossip message uses at most an eighth of the bytes available. With 4 messages/s the level then
// settles where gossip and evidence together use the budget.
constexpr double gossip_share = 0.125;
constexpr std::size_t min_gossip_items = 150;
// Below this level evidence and direct verdicts wait; what is left is for gossip.
constexpr double reserve_bytes = 2'000;
// A node gets 2 gossip requests/s on average, and up to 12 times as many retries under loss. More
// is a fault, and is not answered.
constexpr double replies_per_second = 25;
constexpr double reply_burst = 50;
// Peers that hear at once that this node leaves, or of a request that crashes targets.
constexpr int urgent_receivers = 6;
// Changes of members are passed on at once, which reaches 94 % of the nodes in a few hops; the
// rounds reach the rest. At the target size 0.4 changes/s are usual.
constexpr int urgent_fanout = 3;
constexpr double urgent_per_second = 4;
constexpr double urgent_burst = 12;
constexpr std::size_t urgent_room = 160;
// Names of 64 bytes each still fit one datagram.
constexpr std::size_t observations_per_message = 7;

std::size_t gossip_room(double level, const domain_name& domain) {
    constexpr std::size_t most = max_datagram_bytes - header_size_bound;
    const auto share = static_cast<std::size_t>(std::max(0.0, level * gossip_share));
    const auto room = std::clamp(share, min_gossip_items, most);
    return room - std::min(room, domain.value.size());
}

} // namespace

gossip_node::gossip_node(gossip_settings settings, const clock_source& clock, random_source& random)
    : settings_(std::move(settings)), clock_(clock),
      random_(random), self_{node_id(to_string(settings_.address)), settings_.domain,
                             settings_.process, 0, member_state::alive},
      members_(self_.id),
      bucket_(settings_.bytes_per_second, settings_.bytes_per_second * burst_seconds, clock.now()),
      counts_(settings_.count_bytes_per_second, settings_.count_bytes_per_second * burst_seconds,
              clock.now()),
      replies_(replies_per_second, reply_burst, clock.now()),
      urgent_(urgent_per_second, urgent_burst, clock.now()), fetches_(random, clock.now()) {
    update_listed(clock.now());
    // A random phase, so that nodes started together don't send together.
    next_gossip_ = clock.now() + gossip_interval * random.below(1'000) / 1'000;
}

void gossip_node::update_listed(instant now) {
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
    update_listed(clock_.now());
}

void gossip_node::set_config(std::uint64_t version, std::string_view digest) {
    if (version <= config_version_) {
        return;
    }
    config_version_ = version;
    config_digest_ = stable_hash(digest);
    confirmed_ = {};
    fetches_.set_version(version);
}

void gossip_node::confirm_by_platform(wall_time when) {
    confirm(when);
}

void gossip_node::confirm(wall_time when) {
    confirmed_ = std::max(confirmed_, std::min(when, clock_.wall_now()));
}

void gossip_node::reject_config(std::uint64_t version) {
    fetches_.skip(version);
}

void gossip_node::fetch_finished(const node_id& peer, bool answered) {
    fetches_.finished(peer, answered, clock_.now());
}

void gossip_node::report(const std::vector<node_id>& aggregators,
                         const health::evidence_report& evidence) {
    for (const auto& it : aggregators) {
        if (it == self_.id) {
            auto own = evidence;
            own.reporter = self_.id;
            own.reporter_domain = self_.domain;
            inbox_.evidence.push_back(own);
        } else if (!evidence_.push(it, evidence)) {
            ++counters_.evidence_discarded;
        }
    }
    const auto now = clock_.now();
    bucket_.refill(now);
    flush_evidence(now);
}

void gossip_node::flush_evidence(instant now) {
    while (evidence_.size() > 0 && bucket_.level() >= reserve_bytes) {
        auto batch = evidence_.pop();
        message content;
        content.kind = message_kind::evidence;
        content.evidence = std::move(batch->second);
        send(batch->first, std::move(content), now);
    }
}

void gossip_node::announce(const health::verdict& item, const std::vector<node_id>& reporters) {
    const auto now = clock_.now();
    if (!digest_.learn(item, now)) {
        return;
    }
    if (item.state == health::target_state::leaving) {
        spread_at_once(now);
    }
    bucket_.refill(now);
    for (const auto& it : reporters) {
        if (it != self_.id && bucket_.level() >= reserve_bytes) {
            message content;
            content.kind = message_kind::verdict;
            content.verdicts.push_back(item);
            send(it, std::move(content), now);
        }
    }
}

void gossip_node::announce(const once::crash_mark& item) {
    if (digest_.learn(item, clock_.wall_now())) {
        spread_at_once(clock_.now());
    }
}

void gossip_node::announce_reading(const std::vector<node_id>& to, instant when) {
    for (const auto& it : to) {
        message content;
        content.kind = message_kind::reading;
        content.reading = when;
        send(it, std::move(content), clock_.now());
    }
}

void gossip_node::announce(std::vector<health::observation> seen, const std::vector<node_id>& to) {
    // Peers drop a count that isn't repeated, so nothing is wrong for long when some aren't told.
    counts_.refill(clock_.now());
    if (counts_.level() <= 0.0) {
        std::erase_if(seen, [](const auto& it) { return it.outstanding >= 0; });
    }
    for (std::size_t first = 0; first < seen.size(); first += observations_per_message) {
        const auto last = std::min(first + observations_per_message, seen.size());
        for (const auto& it : to) {
            message content;
            content.kind = message_kind::observation;
            content.observations.assign(seen.begin() + static_cast<std::ptrdiff_t>(first),
                                        seen.begin() + static_cast<std::ptrdiff_t>(last));
            send(it, std::move(content), clock_.now());
        }
    }
}

void gossip_node::announce_leaving() {
    if (self_.state == member_state::leaving) {
        return;
    }
    self_.state = member_state::leaving;
    digest_.refresh(self_.id);
    spread_at_once(clock_.now());
}

void gossip_node::spread_at_once(instant now) {
    std::set<node_id> told;
    for (int i = 0; i < urgent_receivers; ++i) {
        const auto peer = members_.choose(random_, true, told);
        if (!peer) {
            return;
        }
        told.insert(*peer);
        send_gossip(*peer, message_kind::gossip_request, now);
    }
}

void gossip_node::send_gossip(const node_id& to, message_kind kind, instant now, bool with_record) {
    message content;
    content.kind = kind;
    content.domain = self_.domain;
    content.config_digest = config_digest_;
    if (confirmed_ != wall_time{}) {
        content.confirmed = confirmed_;
    }
    auto room = gossip_room(bucket_.level(), self_.domain);
    // A peer that is thought to be suspect or dead is told so, because only it can contradict. The
    // record also tells an old process that a newer one runs at its address.
    const auto* peer = members_.find(to);
    if (peer != nullptr && (with_record || peer->record.state != member_state::alive)) {
        content.members.push_back(peer->record);
        room -= std::min(room, size_bound(peer->record));
    }
    digest_.fill(content, room, {members_, self_, now, clock_.wall_now()});
    send(to, std::move(content), now);
}

void gossip_node::pass_on(instant now) {
    urgent_.refill(now);
    if (!std::exchange(urgent_news_, false) || urgent_.level() < 1) {
        return;
    }
    urgent_.charge(1);
    std::set<node_id> told;
    for (int i = 0; i < urgent_fanout; ++i) {
        const auto peer = members_.choose(random_, true, told);
        if (!peer) {
            return;
        }
        told.insert(*peer);
        message content;
        content.kind = message_kind::gossip_reply;
        digest_.fill_members(content, urgent_room, {members_, self_, now, clock_.wall_now()}, 0);
        send(*peer, std::move(content), now);
    }
}

void gossip_node::reply(const node_id& to, instant now, bool with_record) {
    replies_.refill(now);
    if (replies_.level() >= 1) {
        replies_.charge(1);
        send_gossip(to, message_kind::gossip_reply, now, with_record);
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
    content.config_version = config_version_;
    content.sequence = peer->link.next_sequence(now);
    content.echo = peer->link.last_heard();
    // Charged by the bound now; the exact size is only known after encoding.
    std::size_t bytes = datagram_overhead_bytes + header_size_bound / 2;
    const auto add = [&](const auto& items) {
        for (const auto& it : items) {
            bytes += size_bound(it);
        }
    };
    add(content.members);
    add(content.verdicts);
    add(content.marks);
    add(content.evidence);
    add(content.observations);
    budget_of(content).charge(bytes);
    outgoing_.push_back({to, std::move(content), bytes});
}

token_bucket& gossip_node::budget_of(const message& content) {
    const bool counts = std::ranges::any_of(content.observations,
                                            [](const auto& it) { return it.outstanding >= 0; });
    return counts ? counts_ : bucket_;
}

std::vector<outgoing> gossip_node::take_outgoing() {
    return std::exchange(outgoing_, {});
}

inbox gossip_node::take_inbox() {
    return std::exchange(inbox_, {});
}

std::optional<fetch_request> gossip_node::take_fetch() {
    return fetches_.next(clock_.now(), [this](const std::set<node_id>& except) {
        return members_.choose(random_, true, except);
    });
}

void gossip_node::count_drop(drop_reason reason, std::size_t bytes) {
    counters_.drop(reason);
    ++counters_.datagrams_received;
    counters_.bytes_received += bytes + datagram_overhead_bytes;
}

void gossip_node::count_sent(const outgoing& sent, std::size_t bytes) {
    auto& budget = budget_of(sent.content);
    budget.refund(sent.charged);
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
    bucket_.refill(clock_.now());
    bucket_.charge(sent);
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
        member_status line{it.record.id,      it.record.domain,  it.state(),
                           it.record.process, it.config_version, std::nullopt};
        if (it.heard) {
            line.silence = std::chrono::duration_cast<milliseconds>(now - *it.heard);
        }
        out.push_back(std::move(line));
    }
    std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    return out;
}

std::optional<member_state> gossip_node::state_of(const node_id& peer) const {
    const auto* it = members_.find(peer);
    return it == nullptr ? std::nullopt : std::optional(it->state());
}

std::map<std::uint64_t, std::size_t> gossip_node::config_versions() const {
    std::map<std::uint64_t, std::size_t> out;
    for (const auto& it : members_.all()) {
        ++out[it.config_version];
    }
    return out;
}

} // namespace wigeonrill::peers
