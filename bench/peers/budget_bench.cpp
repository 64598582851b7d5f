#include "bench.h"

namespace wigeonrill::peers::bench {

namespace {

constexpr std::size_t fleet_size = 100;
constexpr double answers_per_second = 124;
// Share of the answers of healthy targets that have a positive log-likelihood ratio and are
// therefore reported to aggregators (design, section 3.1).
constexpr double reported_share = 0.15;
constexpr std::size_t targets = 42'000;
constexpr milliseconds time_step{10};

// Node that encodes and decodes its messages. The datagrams are passed on in memory, so that the
// measured time includes the codec but no socket calls.
struct encoding_node {
    encoding_node(std::size_t i, const clock_source& clock, std::string fleet_secret)
        : random(i), node(make_gossip_settings(i), clock, random),
          message_codec(clock, std::move(fleet_secret)) {}

    seeded_random_source random;
    gossip_node node;
    codec message_codec;
    double reports_due{0};
    std::uint64_t sequence{0};
};

// Fleet of nodes in one process that announce verdicts and report evidence at fixed rates.
class fleet {
public:
    explicit fleet(const std::string& fleet_secret) : random_(9) {
        clock_.set_wall(wall_time(seconds(1'700'000'100)));
        for (std::size_t i = 0; i < fleet_size; ++i) {
            node_index_.emplace(id_of(i), i);
            nodes_.push_back(std::make_unique<encoding_node>(i, clock_, fleet_secret));
            nodes_[i]->node.set_vms(make_vm_list(fleet_size));
        }
    }

    // Runs the fleet for a simulated duration. The rate of verdicts is that of the whole fleet.
    void run(milliseconds run_time, double verdicts_per_second) {
        for (milliseconds done{0}; done < run_time; done += time_step, ++steps_) {
            clock_.advance(time_step);
            verdicts_due_ += verdicts_per_second * std::chrono::duration<double>(time_step).count();
            for (; verdicts_due_ >= 1; verdicts_due_ -= 1) {
                auto& it = *nodes_[random_.next_below(fleet_size)];
                it.node.announce(make_verdict(it.node.id(), random_.next_below(targets),
                                              ++it.sequence, clock_.now() + seconds{30}),
                                 {});
            }
            for (std::size_t i = 0; i < fleet_size; ++i) {
                run_node(i);
            }
        }
    }
    // Returns the counters that the benchmark prints, summed over all nodes.
    [[nodiscard]] traffic_counters total_counters() const {
        traffic_counters out;
        for (const auto& it : nodes_) {
            out.bytes_sent += it->node.counters().bytes_sent;
            out.datagrams_sent += it->node.counters().datagrams_sent;
            out.evidence_discarded += it->node.counters().evidence_discarded;
        }
        return out;
    }
    [[nodiscard]] std::uint64_t received_answers() const { return received_answers_; }

private:
    void run_node(std::size_t i) {
        auto& it = *nodes_[i];
        it.reports_due +=
            answers_per_second * reported_share * std::chrono::duration<double>(time_step).count();
        for (; it.reports_due >= 1; it.reports_due -= 1) {
            const auto first = random_.next_below(fleet_size);
            const auto second = (first + 1) % fleet_size;
            it.node.report({id_of(first), id_of(second)},
                           make_evidence_report(random_.next_below(targets), ++it.sequence));
        }
        constexpr std::size_t steps_per_tick = gossip_node::tick_interval / time_step;
        if (steps_ % steps_per_tick == i % steps_per_tick) {
            it.node.tick();
        }
        deliver_outgoing(i);
    }
    void deliver_outgoing(std::size_t i) {
        auto& from = *nodes_[i];
        for (const auto& it : from.node.take_outgoing()) {
            const auto datagram = from.message_codec.encode(it.content, from.node.id(), it.to);
            from.node.count_sent(it, datagram ? datagram->size() : 0);
            const auto index = node_index_.at(it.to);
            auto& to = *nodes_[index];
            const auto content = to.message_codec.decode(*datagram, from.node.id(), it.to);
            to.node.receive(from.node.id(), *content, datagram->size());
            for (const auto& report : to.node.take_inbox().evidence) {
                received_answers_ += report.answers;
            }
            deliver_outgoing(index);
        }
    }

    manual_clock_source clock_;
    seeded_random_source random_;
    std::vector<std::unique_ptr<encoding_node>> nodes_;
    std::unordered_map<node_id, std::size_t> node_index_;
    std::size_t steps_{0};
    double verdicts_due_{0};
    std::uint64_t received_answers_{0};
};

} // namespace

void measure_budget() {
    constexpr int measured_seconds = 60;
    std::printf("%zu nodes, %.0f answers/s each, %.2f of them reported to 2 aggregators\n",
                fleet_size, answers_per_second, reported_share);
    std::printf("%6s %12s %12s %14s %12s %10s\n", "HMAC", "verdicts/s", "bytes/s", "datagrams/s",
                "CPU % core", "lost");
    for (const char* fleet_secret : {"", "a secret of the fleet"}) {
        for (const double verdicts_per_second : {0.0, 1.0, 5.0, 20.0}) {
            fleet it(fleet_secret);
            it.run(seconds{20}, verdicts_per_second);
            const auto before = it.total_counters();
            const auto start = cpu_microseconds();
            it.run(seconds{measured_seconds}, verdicts_per_second);
            const auto cpu = cpu_microseconds() - start;
            const auto after = it.total_counters();
            const double node_seconds = static_cast<double>(fleet_size) * measured_seconds;
            std::printf("%6s %12.0f %12.0f %14.1f %12.3f %10lu\n",
                        *fleet_secret == 0 ? "no" : "yes", verdicts_per_second,
                        static_cast<double>(after.bytes_sent - before.bytes_sent) / node_seconds,
                        static_cast<double>(after.datagrams_sent - before.datagrams_sent) /
                            node_seconds,
                        cpu / node_seconds / 1e4, after.evidence_discarded);
        }
    }
}

} // namespace wigeonrill::peers::bench
