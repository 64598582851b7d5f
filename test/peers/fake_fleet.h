#ifndef WIGEONRILL_TEST_PEERS_FAKE_FLEET_H
#define WIGEONRILL_TEST_PEERS_FAKE_FLEET_H

#include "wigeonrill/peers.h"

#include <CppUTest/TestHarness.h>

namespace wigeonrill::peers {

/// \brief In-memory network that can lose, delay, duplicate and reorder datagrams and break links.
class fake_network {
public:
    explicit fake_network(manual_clock_source& clock) : clock_(clock) {}

    class port final : public transport {
    public:
        port(fake_network& network, endpoint address)
            : network_(network), address_(std::move(address)) {}
        bool send(const endpoint& to, std::string_view bytes) override {
            network_.accept(address_, to, std::string(bytes));
            return true;
        }
        std::optional<datagram> receive(milliseconds /*wait*/) override {
            return network_.pop(address_);
        }

    private:
        fake_network& network_;
        endpoint address_;
    };

    double loss{0};        // probability that a datagram is lost
    double duplication{0}; // probability that a datagram is delivered twice
    milliseconds min_delay{1};
    milliseconds max_delay{1};                   // if above min_delay, datagrams are reordered
    std::set<std::pair<endpoint, endpoint>> cut; // broken directions as (from, to)
    std::function<void(const datagram&)> on_send{};

    void cut_both(const endpoint& a, const endpoint& b) {
        cut.emplace(a, b);
        cut.emplace(b, a);
    }
    void accept(const endpoint& from, const endpoint& to, const std::string& bytes) {
        if (on_send) {
            on_send({from, bytes});
        }
        if (cut.contains({from, to}) || random_.uniform() < loss) {
            return;
        }
        const int copies = random_.uniform() < duplication ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const auto spread = static_cast<std::uint64_t>((max_delay - min_delay).count());
            const milliseconds delay =
                min_delay + milliseconds(spread == 0 ? 0 : random_.next_below(spread));
            queues_[to].emplace(clock_.now() + delay, datagram{from, bytes});
        }
    }

private:
    std::optional<datagram> pop(const endpoint& at) {
        auto& queue = queues_[at];
        if (queue.empty() || queue.begin()->first > clock_.now()) {
            return std::nullopt;
        }
        auto out = queue.begin()->second;
        queue.erase(queue.begin());
        return out;
    }

    manual_clock_source& clock_;
    seeded_random_source random_{17};
    std::map<endpoint, std::multimap<instant, datagram>> queues_;
};

/// \brief One node of the fake fleet, with the items that it received.
struct fake_node {
    fake_node(fake_network& network, gossip_settings settings, const clock_source& clock,
              const std::string& secret)
        : random(stable_hash(to_string(settings.address), settings.process.nonce)),
          address(settings.address), port(network, settings.address),
          node(std::move(settings), clock, random), link(node, port, clock, secret) {}

    seeded_random_source random;
    endpoint address;
    fake_network::port port;
    gossip_node node;
    peer_link link;
    bool running{true};
    std::vector<health::verdict> verdicts;
    std::vector<once::crash_mark> marks;
    std::vector<health::evidence_report> evidence;
    std::vector<health::rate_limit> rate_limits;
    std::uint64_t version{0};
    std::uint64_t fetches{0};
    /// Request in flight and the time of its answer.
    std::optional<std::pair<fetch_request, instant>> fetch;
};

/// \brief Fleet of nodes on a fake network with one manual clock.
struct fake_fleet {
    manual_clock_source clock;
    fake_network network{clock};
    std::string secret{};
    std::vector<std::unique_ptr<fake_node>> nodes;
    std::map<std::uint64_t, std::uint64_t> answered_fetches; // answered requests by node index
    std::map<int, std::uint64_t> started_fetches;            // started requests by step
    int step{0};
    /// Called after each step instead of the transfers of 20 ms, if set.
    std::function<void()> run_transfers{};

    explicit fake_fleet(std::size_t count) {
        clock.set_wall(wall_time(seconds(1'700'000'000)));
        for (std::size_t i = 0; i < count; ++i) {
            nodes.push_back(make_node(i, 1));
        }
    }

    static endpoint address(std::size_t i) {
        return {"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1), 7'400};
    }
    static node_id id(std::size_t i) { return node_id(to_string(address(i))); }

    static constexpr std::uint16_t traffic_port = 8'080; ///< of all nodes
    /// Budget for observations with the number of outstanding requests, in bytes per second.
    static constexpr std::int64_t count_budget = 4'000;

    gossip_settings settings(std::size_t i, std::uint32_t nonce) const {
        gossip_settings out;
        out.address = address(i);
        out.domain = domain_name("d" + std::to_string(i % 4));
        const auto since = clock.wall_now().time_since_epoch();
        out.process = {
            static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since).count()),
            nonce};
        out.seeds = {address(0), address(1)};
        out.traffic_port = traffic_port;
        out.load_bytes_per_second = static_cast<double>(count_budget);
        return out;
    }
    std::unique_ptr<fake_node> make_node(std::size_t i, std::uint32_t nonce) {
        return std::make_unique<fake_node>(network, settings(i, nonce), clock, secret);
    }
    gossip_node& at(std::size_t i) { return nodes.at(i)->node; }

    std::vector<config::vm_record> list() const {
        std::vector<config::vm_record> out;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            out.push_back({address(i), domain_name("d" + std::to_string(i % 4)),
                           config::vm_role::node, config::vm_state::live});
        }
        return out;
    }
    void list_all_nodes() {
        for (auto& it : nodes) {
            it->node.set_vms(list());
        }
    }

    void run(milliseconds span) {
        constexpr milliseconds resolution{10};
        for (milliseconds done{0}; done < span; done += resolution, ++step) {
            clock.advance(resolution);
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                if (nodes[i]->running) {
                    run_node(*nodes[i], step % 25 == static_cast<int>(i % 25));
                }
            }
            if (run_transfers) {
                run_transfers();
            }
        }
    }
    member_state state(std::size_t viewer, std::size_t subject) {
        for (const auto& it : at(viewer).status()) {
            if (it.id == id(subject)) {
                return it.state;
            }
        }
        FAIL("the subject is not a member");
        return member_state::dead;
    }
    bool is_member(std::size_t viewer, std::size_t subject) {
        const auto all = at(viewer).status();
        return std::any_of(all.begin(), all.end(),
                           [&](const auto& it) { return it.id == id(subject); });
    }
    /// \returns the number of running nodes other than the subject that see it in a state
    std::size_t count_viewers(std::size_t subject, member_state wanted) {
        std::size_t count = 0;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            count += i != subject && nodes[i]->running && state(i, subject) == wanted ? 1 : 0;
        }
        return count;
    }

private:
    void run_node(fake_node& it, bool tick_due) {
        it.link.receive(milliseconds{0});
        if (tick_due) {
            it.link.tick();
        }
        auto received = it.node.take_inbox();
        it.verdicts.insert(it.verdicts.end(), received.verdicts.begin(), received.verdicts.end());
        it.marks.insert(it.marks.end(), received.marks.begin(), received.marks.end());
        it.evidence.insert(it.evidence.end(), received.evidence.begin(), received.evidence.end());
        it.rate_limits.insert(it.rate_limits.end(), received.rate_limits.begin(),
                              received.rate_limits.end());
        if (!run_transfers) {
            run_fetch(it);
        }
    }
    // Answers a request after 20 ms, or lets it fail if the peer isn't running or a direction is
    // broken.
    void run_fetch(fake_node& it) {
        if (!it.fetch) {
            if (const auto request = it.node.take_fetch_request()) {
                it.fetch = {*request, clock.now() + milliseconds{20}};
                ++it.fetches;
                ++started_fetches[step];
            }
            return;
        }
        if (clock.now() < it.fetch->second) {
            return;
        }
        const auto from = it.fetch->first.from;
        it.fetch.reset();
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (id(i) == from) {
                answer_fetch(it, *nodes[i], i);
            }
        }
    }
    void answer_fetch(fake_node& it, const fake_node& peer, std::size_t index) {
        const bool open = !network.cut.contains({it.address, peer.address}) &&
                          !network.cut.contains({peer.address, it.address});
        if (peer.running && open) {
            ++answered_fetches[index];
            if (peer.version > it.version) {
                set_version(it, peer.version);
            }
        }
        it.node.fetch_finished(node_id(to_string(peer.address)), peer.running && open);
    }

public:
    static void set_version(fake_node& it, std::uint64_t version) {
        it.version = version;
        it.node.set_config(version, "digest-" + std::to_string(version));
    }
};

/// \returns a verdict with fixed values for tests
inline health::verdict make_verdict(const node_id& judge, const std::string& target,
                                    std::uint64_t sequence, instant expires) {
    return {service_name("stock"),
            target_id(target),
            health::target_state::sick,
            21.5,
            judge,
            sequence,
            expires};
}

/// \returns an evidence report with fixed values for tests
inline health::evidence_report make_evidence(const std::string& target, std::uint64_t sequence) {
    health::evidence_report out;
    out.service = service_name("stock");
    out.target = target_id(target);
    out.llr_sum = 1.5;
    out.answers = 3;
    out.sequence = sequence;
    return out;
}

} // namespace wigeonrill::peers

#endif
