#include "bench.h"

#include <cmath>

namespace wigeonrill::peers::bench {

namespace {

constexpr milliseconds time_step{50};
constexpr std::uint64_t new_version = 2;
// Time of a transfer of changes without packet loss.
constexpr milliseconds transfer_time{20};
// Delay that a lost segment adds to a TCP transfer on Linux: the minimum retransmission timeout.
constexpr milliseconds retransmission_timeout{200};
// A transfer takes segments for connection setup, request and answer, and one more for a service's
// shard.
constexpr int segments_per_transfer = 4;

// Transfer of changes from a peer that ends at a known time.
struct pending_fetch {
    fetch_request request;
    instant done{};
};

// Nodes that exchange messages in memory, without codec or socket. Each datagram is lost with a
// given probability and otherwise arrives at the next time step.
class fleet {
public:
    fleet(std::size_t count, double loss, std::uint64_t seed)
        : loss_(loss), random_(seed), fetches_(count), versions_(count, 1) {
        clock_.set_wall(wall_time(seconds(1'700'000'100)));
        const auto list = make_vm_list(count);
        for (std::size_t i = 0; i < count; ++i) {
            node_index_.emplace(id_of(i), i);
            random_sources_.push_back(std::make_unique<seeded_random_source>(random_.next()));
            nodes_.push_back(std::make_unique<gossip_node>(make_gossip_settings(i), clock_,
                                                           *random_sources_[i]));
            nodes_[i]->set_vms(list);
            nodes_[i]->set_config(1, "digest");
        }
    }

    void run(milliseconds run_time) {
        for (milliseconds done{0}; done < run_time; done += time_step) {
            advance_step();
        }
    }
    // Gives the new version to a number of random nodes, which stand for the nodes that watch the
    // platform. Returns the simulated seconds until all nodes have it, at most 60.
    double seconds_until_all(std::size_t watchers) {
        for (std::size_t i = 0; i < watchers; ++i) {
            adopt_new_version(random_.next_below(nodes_.size()));
        }
        const auto start = clock_.now();
        const auto any_outdated = [&] {
            return std::any_of(versions_.begin(), versions_.end(),
                               [](auto it) { return it < new_version; });
        };
        while (any_outdated() && clock_.now() - start < seconds{60}) {
            advance_step();
        }
        return std::chrono::duration<double>(clock_.now() - start).count();
    }
    // Stops a node. Returns the simulated seconds until all other nodes consider it not live, at
    // most 60.
    double seconds_until_excluded(std::size_t stopped_node) {
        stopped_.insert(stopped_node);
        const auto start = clock_.now();
        const auto is_still_live = [&] {
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                if (i != stopped_node && is_live(*nodes_[i], id_of(stopped_node))) {
                    return true;
                }
            }
            return false;
        };
        while (is_still_live() && clock_.now() - start < seconds{60}) {
            advance_step();
        }
        return std::chrono::duration<double>(clock_.now() - start).count();
    }
    // Returns the share of all pairs of nodes in which the first wrongly considers the second not
    // live.
    [[nodiscard]] double wrong_state_share() const {
        double wrong = 0;
        for (const auto& it : nodes_) {
            wrong += static_cast<double>(nodes_.size() - it->live_nodes().size());
        }
        return wrong / static_cast<double>(nodes_.size() * nodes_.size());
    }
    // Returns the largest number of fetches that one node answered with the new version.
    [[nodiscard]] std::uint64_t max_fetches_served() const {
        std::uint64_t max_count = 0;
        for (const auto& [node, count] : fetches_served_) {
            max_count = std::max(max_count, count);
        }
        return max_count;
    }

private:
    static bool is_live(const gossip_node& node, const node_id& id) {
        return node.state_of(id) == member_state::alive;
    }

    // Records that a node has the new version in force.
    void adopt_new_version(std::size_t i) {
        versions_[i] = new_version;
        nodes_[i]->set_config(new_version, "digest 2");
    }
    // Delivers the datagrams of the previous step, then runs each node for one step.
    void advance_step() {
        clock_.advance(time_step);
        ++steps_;
        auto arrived = std::exchange(in_transit_, {});
        for (auto& [from, it] : arrived) {
            const auto to = node_index_.at(it.to);
            if (!stopped_.contains(to)) {
                nodes_[to]->receive(id_of(from), it.content, 200);
                send_outgoing(to);
            }
        }
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (!stopped_.contains(i)) {
                run_node(i);
            }
        }
    }
    // Runs a node's tick when it is due, and starts or ends its transfer of changes.
    void run_node(std::size_t i) {
        constexpr std::size_t steps_per_tick = gossip_node::tick_interval / time_step;
        if (steps_ % steps_per_tick == i % steps_per_tick) {
            nodes_[i]->tick();
            send_outgoing(i);
        }
        auto& pending = fetches_[i];
        if (!pending) {
            if (const auto request = nodes_[i]->take_fetch_request()) {
                auto delay = transfer_time;
                for (int k = 0; k < segments_per_transfer; ++k) {
                    while (random_.uniform() < loss_) {
                        delay += retransmission_timeout;
                    }
                }
                pending = pending_fetch{*request, clock_.now() + delay};
            }
        } else if (clock_.now() >= pending->done) {
            const auto from = pending->request.from;
            const bool answered = !stopped_.contains(node_index_.at(from));
            pending.reset();
            if (answered && versions_[node_index_.at(from)] > versions_[i]) {
                ++fetches_served_[node_index_.at(from)];
                adopt_new_version(i);
            }
            nodes_[i]->fetch_finished(from, answered);
        }
    }
    // Puts the messages that a node wants to send in transit, except those that are lost.
    void send_outgoing(std::size_t i) {
        for (auto& it : nodes_[i]->take_outgoing()) {
            nodes_[i]->count_sent(it, it.charged_bytes - datagram_overhead_bytes);
            if (random_.uniform() >= loss_) {
                in_transit_.emplace_back(i, std::move(it));
            }
        }
    }

    manual_clock_source clock_;
    double loss_;
    seeded_random_source random_;
    std::vector<std::unique_ptr<seeded_random_source>> random_sources_;
    std::vector<std::unique_ptr<gossip_node>> nodes_;
    std::unordered_map<node_id, std::size_t> node_index_;
    std::vector<std::pair<std::size_t, outgoing_message>> in_transit_;
    std::vector<std::optional<pending_fetch>> fetches_;
    std::vector<std::uint64_t> versions_;
    std::map<std::size_t, std::uint64_t> fetches_served_;
    std::set<std::size_t> stopped_;
    std::size_t steps_{0};
};

// Model of push-pull gossip with one random peer per node and round. Returns the number of rounds
// after which at most 0.5 nodes are expected to lack the version.
double expected_rounds(std::size_t nodes, std::size_t watchers, double loss) {
    const auto n = static_cast<double>(nodes);
    double share_without = 1 - static_cast<double>(watchers) / n;
    int rounds = 0;
    while (share_without * n > 0.5 && rounds < 1'000) {
        const double share_with = 1 - share_without;
        // A node still lacks the version after a round when its own exchange didn't bring it
        // (request or reply was lost, or the peer lacks the version, too), and when no message from
        // a node with the version reached it.
        const double pull_miss = 1 - share_with * (1 - loss) * (1 - loss);
        const double push_miss = std::exp(-share_with * (1 - loss));
        share_without *= pull_miss * push_miss;
        ++rounds;
    }
    return rounds;
}

} // namespace

void measure_spread(std::size_t smallest, std::size_t largest) {
    std::printf("%6s %5s %5s %9s %9s %9s %10s %9s %9s\n", "nodes", "loss", "seed", "version s",
                "rounds", "model", "most asked", "dead s", "wrong");
    for (const std::size_t n : {36U, 100U, 370U, 1'000U, 3'700U}) {
        if (n < smallest || n > largest) {
            continue;
        }
        for (const double loss : {0.0, 0.1, 0.3}) {
            const std::uint64_t seeds = n > 1'000 ? 1 : 3;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                fleet it(n, loss, seed);
                it.run(seconds{10});
                const std::size_t watchers = n > 1'000 ? 27 : 1;
                const auto version = it.seconds_until_all(watchers);
                const auto wrong = it.wrong_state_share();
                const auto dead = it.seconds_until_excluded(n / 2);
                std::printf("%6zu %5.2f %5lu %9.2f %9.1f %9.0f %10lu %9.2f %9.5f\n", n, loss, seed,
                            version, version / 0.5, expected_rounds(n, watchers, loss),
                            it.max_fetches_served(), dead, wrong);
                std::fflush(stdout);
            }
        }
    }
}

} // namespace wigeonrill::peers::bench
