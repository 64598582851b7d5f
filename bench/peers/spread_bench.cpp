#include "bench.h"

#include <cmath>

namespace wigeonrill::peers::bench {

namespace {

constexpr milliseconds step{50};
constexpr std::uint64_t new_version = 2;
constexpr milliseconds transfer{20};
// What a lost segment costs a TCP transfer on Linux: the smallest retransmission timeout.
constexpr milliseconds retransmission{200};
constexpr int segments = 4; // connection, request, answer, and one more for a service's shard

struct pending_fetch {
    fetch_request request;
    instant done{};
};

// Nodes that exchange messages without codec or socket. Each datagram is lost with a probability
// and arrives at the next step.
class fleet {
public:
    fleet(std::size_t count, double loss, std::uint64_t seed)
        : loss_(loss), random_(seed), fetches_(count), versions_(count, 1) {
        clock_.set_wall(wall_time(seconds(1'700'000'100)));
        const auto list = list_of(count);
        for (std::size_t i = 0; i < count; ++i) {
            index_.emplace(id_of(i), i);
            randoms_.push_back(std::make_unique<seeded_random_source>(random_.next()));
            nodes_.push_back(std::make_unique<gossip_node>(settings_of(i), clock_, *randoms_[i]));
            nodes_[i]->set_vms(list);
            nodes_[i]->set_config(1, "digest");
        }
    }

    void run(milliseconds span) {
        for (milliseconds done{0}; done < span; done += step) {
            advance();
        }
    }
    // Gives the version to the watchers and runs until all nodes have it.
    double seconds_until_all(std::size_t watchers) {
        for (std::size_t i = 0; i < watchers; ++i) {
            accept(random_.next_below(nodes_.size()));
        }
        const auto start = clock_.now();
        const auto behind = [&] {
            return std::any_of(versions_.begin(), versions_.end(),
                               [](auto it) { return it < new_version; });
        };
        while (behind() && clock_.now() - start < seconds{60}) {
            advance();
        }
        return std::chrono::duration<double>(clock_.now() - start).count();
    }
    // Stops a node and runs until no other holds it as live.
    double seconds_until_excluded(std::size_t victim) {
        stopped_.insert(victim);
        const auto start = clock_.now();
        const auto held = [&] {
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                if (i != victim && is_live(*nodes_[i], id_of(victim))) {
                    return true;
                }
            }
            return false;
        };
        while (held() && clock_.now() - start < seconds{60}) {
            advance();
        }
        return std::chrono::duration<double>(clock_.now() - start).count();
    }
    [[nodiscard]] double wrong_states() const {
        double wrong = 0;
        for (const auto& it : nodes_) {
            wrong += static_cast<double>(nodes_.size() - it->live_nodes().size());
        }
        return wrong / static_cast<double>(nodes_.size() * nodes_.size());
    }
    [[nodiscard]] std::uint64_t most_served() const {
        std::uint64_t most = 0;
        for (const auto& [node, count] : served_) {
            most = std::max(most, count);
        }
        return most;
    }

private:
    static bool is_live(const gossip_node& node, const node_id& id) {
        return node.state_of(id) == member_state::alive;
    }

    void accept(std::size_t i) {
        versions_[i] = new_version;
        nodes_[i]->set_config(new_version, "digest 2");
    }
    void advance() {
        clock_.advance(step);
        ++steps_;
        auto arrived = std::exchange(in_transit_, {});
        for (auto& [from, it] : arrived) {
            const auto to = index_.at(it.to);
            if (!stopped_.contains(to)) {
                nodes_[to]->receive(id_of(from), it.content, 200);
                collect(to);
            }
        }
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (!stopped_.contains(i)) {
                run_node(i);
            }
        }
    }
    void run_node(std::size_t i) {
        constexpr std::size_t steps_per_tick = gossip_node::tick_interval / step;
        if (steps_ % steps_per_tick == i % steps_per_tick) {
            nodes_[i]->tick();
            collect(i);
        }
        auto& open = fetches_[i];
        if (!open) {
            if (const auto request = nodes_[i]->take_fetch_request()) {
                auto delay = transfer;
                for (int k = 0; k < segments; ++k) {
                    while (random_.uniform() < loss_) {
                        delay += retransmission;
                    }
                }
                open = pending_fetch{*request, clock_.now() + delay};
            }
        } else if (clock_.now() >= open->done) {
            const auto from = open->request.from;
            const bool answered = !stopped_.contains(index_.at(from));
            open.reset();
            if (answered && versions_[index_.at(from)] > versions_[i]) {
                ++served_[index_.at(from)];
                accept(i);
            }
            nodes_[i]->fetch_finished(from, answered);
        }
    }
    void collect(std::size_t i) {
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
    std::vector<std::unique_ptr<seeded_random_source>> randoms_;
    std::vector<std::unique_ptr<gossip_node>> nodes_;
    std::unordered_map<node_id, std::size_t> index_;
    std::vector<std::pair<std::size_t, outgoing_message>> in_transit_;
    std::vector<std::optional<pending_fetch>> fetches_;
    std::vector<std::uint64_t> versions_;
    std::map<std::size_t, std::uint64_t> served_;
    std::set<std::size_t> stopped_;
    std::size_t steps_{0};
};

// Push-pull with one random peer per node and round: expected share of nodes without the version.
double modelled_rounds(std::size_t nodes, std::size_t watchers, double loss) {
    const auto n = static_cast<double>(nodes);
    double without = 1 - static_cast<double>(watchers) / n;
    int rounds = 0;
    while (without * n > 0.5 && rounds < 1'000) {
        const double with = 1 - without;
        // Hears nothing from the peer it asks (request or reply lost, or the peer has nothing), and
        // none of the nodes with the version chooses it and gets through.
        const double pull = 1 - with * (1 - loss) * (1 - loss);
        const double push = std::exp(-with * (1 - loss));
        without *= pull * push;
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
                const auto wrong = it.wrong_states();
                const auto dead = it.seconds_until_excluded(n / 2);
                std::printf("%6zu %5.2f %5lu %9.2f %9.1f %9.0f %10lu %9.2f %9.5f\n", n, loss, seed,
                            version, version / 0.5, modelled_rounds(n, watchers, loss),
                            it.most_served(), dead, wrong);
                std::fflush(stdout);
            }
        }
    }
}

} // namespace wigeonrill::peers::bench
