#ifndef WIGEONRILL_BENCH_PEERS_BENCH_H
#define WIGEONRILL_BENCH_PEERS_BENCH_H

#include "wigeonrill/peers.h"

#include <cstdio>
#include <ctime>

namespace wigeonrill::peers::bench {

/// \returns the processor time that this process has used so far, in microseconds
inline double cpu_microseconds() {
    std::timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

/// \brief Least-squares line through the points added so far.
struct line_fit {
    double sum_x{0};
    double sum_y{0};
    double sum_xx{0};
    double sum_xy{0};
    double points{0};

    void add(double x, double y) {
        sum_x += x;
        sum_y += y;
        sum_xx += x * x;
        sum_xy += x * y;
        points += 1;
    }
    [[nodiscard]] double slope() const {
        return (points * sum_xy - sum_x * sum_y) / (points * sum_xx - sum_x * sum_x);
    }
    [[nodiscard]] double intercept() const { return (sum_y - slope() * sum_x) / points; }
};

/// \returns the address of a node of the simulated fleet
inline endpoint address_of(std::size_t i) {
    return {"10." + std::to_string(i / 40'000 + 20) + "." + std::to_string(i / 200 % 200 + 10) +
                "." + std::to_string(i % 200 + 20),
            7'400};
}
inline node_id id_of(std::size_t i) {
    return node_id(to_string(address_of(i)));
}
/// \returns the failure domain of a node, one of 36
inline domain_name domain_of(std::size_t i) {
    return domain_name("region-" + std::to_string(i % 4) + "-" + std::to_string(i % 9));
}
/// \returns the list of VMs of a fleet with this number of nodes
inline std::vector<config::vm_record> make_vm_list(std::size_t count) {
    std::vector<config::vm_record> out;
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back({address_of(i), domain_of(i), config::vm_role::node, config::vm_state::live});
    }
    return out;
}
inline gossip_settings make_gossip_settings(std::size_t i) {
    return {address_of(i), domain_of(i), {1'700'000'000'000, static_cast<std::uint32_t>(i)}, {}};
}
inline health::verdict make_verdict(const node_id& judge, std::size_t target,
                                    std::uint64_t sequence, instant expires) {
    return {service_name("service-" + std::to_string(target % 770)),
            target_id("target-" + std::to_string(target)),
            health::target_state::sick,
            23.4,
            judge,
            sequence,
            expires};
}
inline health::evidence_report make_evidence_report(std::size_t target, std::uint64_t sequence) {
    health::evidence_report out;
    out.service = service_name("service-" + std::to_string(target % 770));
    out.target = target_id("target-" + std::to_string(target));
    out.llr_sum = -1.234;
    out.answers = 7;
    out.sequence = sequence;
    return out;
}

/// \brief Measures size, encoding and decoding time of messages, and the time of a UDP datagram.
void measure_messages();
/// \brief Measures the processor time of fetching a change set over TCP against its size.
void measure_changes();
/// \brief Measures the heap memory of a gossip_node against the size of the fleet.
void measure_memory();
/// \brief Simulates how fast a new version and the failure of a node spread through fleets.
/// \param smallest smallest number of nodes to simulate
/// \param largest largest number of nodes to simulate
void measure_spread(std::size_t smallest, std::size_t largest);
/// \brief Measures control traffic and processor time per node against the rate of verdicts.
void measure_budget();

} // namespace wigeonrill::peers::bench

#endif
