#include "bench.h"

namespace wigeonrill::peers::bench {

namespace {

constexpr std::size_t fleet_size = 100;
constexpr double answers_per_second = 124;
// Share of healthy answers with a positive log-likelihood ratio (design, section 3.1).
constexpr double reported_share = 0.15;
constexpr std::size_t targets = 42'000;
constexpr milliseconds step{10};

// Datagrams as bytes between nodes in memory, so that the codec's cost counts and no socket's does.
struct wire_node {
    wire_node(std::size_t i, const clock_source& clock, std::string secret)
        : random(i), node(settings_of(i), clock, random), bytes(clock, std::move(secret)) {}

    seeded_random_source random;
    gossip_node node;
    codec bytes;
    double reports_due{0};
    std::uint64_t sequence{0};
};

class fleet {
public:
    explicit fleet(const std::string& secret) : random_(9) {
        clock_.set_wall(wall_time(seconds(1'700'000'100)));
        for (std::size_t i = 0; i < fleet_size; ++i) {
            index_.emplace(id_of(i), i);
            nodes_.push_back(std::make_unique<wire_node>(i, clock_, secret));
            nodes_[i]->node.set_vms(list_of(fleet_size));
        }
    }

    // rumours: verdicts per second in the whole fleet
    void run(milliseconds span, double rumours) {
        for (milliseconds done{0}; done < span; done += step, ++steps_) {
            clock_.advance(step);
            rumours_due_ += rumours * std::chrono::duration<double>(step).count();
            for (; rumours_due_ >= 1; rumours_due_ -= 1) {
                auto& it = *nodes_[random_.next_below(fleet_size)];
                it.node.announce(verdict_of(it.node.id(), random_.next_below(targets),
                                            ++it.sequence, clock_.now() + seconds{30}),
                                 {});
            }
            for (std::size_t i = 0; i < fleet_size; ++i) {
                run_node(i);
            }
        }
    }
    [[nodiscard]] traffic_counters sum() const {
        traffic_counters out;
        for (const auto& it : nodes_) {
            out.bytes_sent += it->node.counters().bytes_sent;
            out.datagrams_sent += it->node.counters().datagrams_sent;
            out.evidence_discarded += it->node.counters().evidence_discarded;
        }
        return out;
    }
    [[nodiscard]] std::uint64_t received_answers() const { return answers_; }

private:
    void run_node(std::size_t i) {
        auto& it = *nodes_[i];
        it.reports_due +=
            answers_per_second * reported_share * std::chrono::duration<double>(step).count();
        for (; it.reports_due >= 1; it.reports_due -= 1) {
            const auto first = random_.next_below(fleet_size);
            const auto second = (first + 1) % fleet_size;
            it.node.report({id_of(first), id_of(second)},
                           evidence_of(random_.next_below(targets), ++it.sequence));
        }
        constexpr std::size_t steps_per_tick = gossip_node::tick_interval / step;
        if (steps_ % steps_per_tick == i % steps_per_tick) {
            it.node.tick();
        }
        flush(i);
    }
    void flush(std::size_t i) {
        auto& from = *nodes_[i];
        for (const auto& it : from.node.take_outgoing()) {
            const auto datagram = from.bytes.encode(it.content, from.node.id(), it.to);
            from.node.count_sent(it, datagram ? datagram->size() : 0);
            const auto index = index_.at(it.to);
            auto& to = *nodes_[index];
            const auto content = to.bytes.decode(*datagram, from.node.id(), it.to);
            to.node.receive(from.node.id(), *content, datagram->size());
            for (const auto& report : to.node.take_inbox().evidence) {
                answers_ += report.answers;
            }
            flush(index);
        }
    }

    manual_clock_source clock_;
    seeded_random_source random_;
    std::vector<std::unique_ptr<wire_node>> nodes_;
    std::unordered_map<node_id, std::size_t> index_;
    std::size_t steps_{0};
    double rumours_due_{0};
    std::uint64_t answers_{0};
};

} // namespace

void measure_budget() {
    constexpr int span = 60;
    std::printf("%zu nodes, %.0f answers/s each, %.2f of them reported to 2 aggregators\n",
                fleet_size, answers_per_second, reported_share);
    std::printf("%6s %12s %12s %14s %12s %10s\n", "HMAC", "verdicts/s", "bytes/s", "datagrams/s",
                "CPU % core", "lost");
    for (const char* secret : {"", "a secret of the fleet"}) {
        for (const double rumours : {0.0, 1.0, 5.0, 20.0}) {
            fleet it(secret);
            it.run(seconds{20}, rumours);
            const auto before = it.sum();
            const auto start = cpu_microseconds();
            it.run(seconds{span}, rumours);
            const auto cpu = cpu_microseconds() - start;
            const auto after = it.sum();
            const double node_seconds = static_cast<double>(fleet_size) * span;
            std::printf(
                "%6s %12.0f %12.0f %14.1f %12.3f %10lu\n", *secret == 0 ? "no" : "yes", rumours,
                static_cast<double>(after.bytes_sent - before.bytes_sent) / node_seconds,
                static_cast<double>(after.datagrams_sent - before.datagrams_sent) / node_seconds,
                cpu / node_seconds / 1e4, after.evidence_discarded);
        }
    }
}

} // namespace wigeonrill::peers::bench
