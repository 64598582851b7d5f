// Measures the control thread's work on targets against their number: memory and time to take over
// a configuration, time of one tick at one node's share of answers, time to publish a new view,
// and time to list the targets for the administration port.
// Usage: control [seed]

#include "bench/common/linear_fit.h"
#include "bench/common/process_usage.h"
#include "wigeonrill/daemon.h"

#include <cstdio>
#include <cstdlib>
#include <malloc.h>

namespace {

using namespace wigeonrill;
using bench::cpu_seconds;
using bench::resident_bytes;

constexpr std::uint32_t targets_per_service = 55;
constexpr std::uint32_t domains = 9;
// One node's share at the target size: 460,000 requests/s over 3,700 nodes, in ticks of 50 ms.
constexpr double answers_per_tick = 460'000.0 / 3'700.0 * 0.05;
constexpr int ticks = 400;

config::snapshot_ptr make_configuration(std::uint32_t targets) {
    auto built = std::make_shared<config::snapshot>();
    built->version = 1;
    for (std::uint32_t first = 0; first < targets; first += targets_per_service) {
        config::service service;
        service.name = service_name("service-" + std::to_string(1'000'000 + first));
        service.floor_slots = 100;
        for (auto i = first; i < std::min(targets, first + targets_per_service); ++i) {
            const auto number = std::to_string(i);
            service.targets.push_back(
                {target_id("target-" + number),
                 {"10." + std::to_string(i / 65'536) + "." + std::to_string(i / 256 % 256) + "." +
                      std::to_string(i % 256),
                  8080},
                 domain_name("domain-" + std::to_string(i % domains)),
                 6,
                 milliseconds(0)});
        }
        for (const auto& it : service.targets) {
            built->vms.push_back(
                {it.address, it.domain, config::vm_role::target, config::vm_state::live});
        }
        config::route route;
        route.name = route_name("route-" + std::to_string(first));
        route.service = service.name;
        built->services.push_back(std::move(service));
        built->routes.push_back(std::move(route));
    }
    return built;
}

struct measured {
    double bytes_per_target{0};
    double configure_ms{0};
    double same_ms{0}; ///< a configuration with the same targets
    double tick_us{0};
    double view_ms{0};
    double list_ms{0};
};

health::answer random_answer(const config::snapshot& configuration, random_source& random,
                             instant now, std::uint64_t id) {
    const auto& service = configuration.services[random.next_below(configuration.services.size())];
    const auto& target = service.targets[random.next_below(service.targets.size())];
    health::answer answer;
    answer.service = service.name;
    answer.target = target.id;
    answer.route = configuration.routes[&service - configuration.services.data()].name;
    answer.sent = now - microseconds(10'000 + random.next_below(10'000));
    answer.ended = now;
    answer.request = id;
    return answer;
}

double run_ticks(health::monitor& monitor, const config::snapshot& configuration,
                 random_source& random) {
    manual_clock_source clock;
    double due = 0;
    std::uint64_t id = 0;
    const auto begin = cpu_seconds();
    for (int i = 0; i < ticks; ++i) {
        clock.advance(milliseconds(50));
        for (due += answers_per_tick; due >= 1; due -= 1) {
            monitor.on_answer(random_answer(configuration, random, clock.now(), ++id));
        }
        static_cast<void>(monitor.tick(clock.now()));
    }
    return (cpu_seconds() - begin) / ticks;
}

measured measure(std::uint32_t targets, std::uint64_t seed) {
    seeded_random_source random(seed);
    const auto configuration = make_configuration(targets);
    measured it;
    // Gives freed memory of the previous size back, so that it doesn't hide growth.
    malloc_trim(0);
    const auto before = resident_bytes();
    auto begin = cpu_seconds();
    health::monitor monitor({node_id("10.0.0.1:7080"), domain_name("domain-0")});
    monitor.configure(configuration, {});
    it.configure_ms = (cpu_seconds() - begin) * 1e3;
    it.tick_us = run_ticks(monitor, *configuration, random) * 1e6;
    it.bytes_per_target = static_cast<double>(resident_bytes() - before) / targets;
    const auto same = std::make_shared<config::snapshot>(*configuration);
    begin = cpu_seconds();
    monitor.configure(same, {});
    it.same_ms = (cpu_seconds() - begin) * 1e3;
    begin = cpu_seconds();
    const auto view = daemon::build_view(configuration, monitor);
    it.view_ms = (cpu_seconds() - begin) * 1e3;
    begin = cpu_seconds();
    const auto rows = daemon::list_targets(*configuration, monitor);
    it.list_ms = (cpu_seconds() - begin) * 1e3;
    return it;
}

// Time to take over the live nodes and to choose the aggregators of one target.
void measure_nodes(std::uint64_t seed) {
    bench::linear_fit fit;
    std::printf("%8s %13s %16s\n", "nodes", "set nodes us", "aggregators us");
    for (const std::uint32_t size : {36U, 370U, 1'000U, 3'700U}) {
        std::vector<health::fleet_node> nodes;
        for (std::uint32_t i = 0; i < size; ++i) {
            nodes.push_back({node_id("10.1." + std::to_string(i / 256) + "." +
                                     std::to_string(i % 256) + ":7080"),
                             domain_name("domain-" + std::to_string(i % domains))});
        }
        constexpr int repeats = 50;
        auto begin = cpu_seconds();
        for (int i = 0; i < repeats; ++i) {
            static_cast<void>(health::fleet_nodes(nodes));
        }
        const auto set_us = (cpu_seconds() - begin) / repeats * 1e6;
        const health::fleet_nodes fleet(nodes);
        seeded_random_source random(seed);
        begin = cpu_seconds();
        for (int i = 0; i < repeats; ++i) {
            static_cast<void>(
                fleet.aggregators(target_id("target-" + std::to_string(random.next()))));
        }
        std::printf("%8u %13.1f %16.1f\n", size, set_us, (cpu_seconds() - begin) / repeats * 1e6);
        fit.add(size, set_us);
    }
    fit.print("set nodes", "us", "node");
}

} // namespace

int main(int argc, char** argv) {
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const std::vector<std::uint32_t> sizes{1'000, 5'000, 15'000, 30'000, 42'000};
    bench::linear_fit memory;
    bench::linear_fit configure;
    bench::linear_fit same;
    bench::linear_fit tick;
    bench::linear_fit view;
    bench::linear_fit list;
    std::printf("%8s %14s %13s %9s %9s %9s %9s\n", "targets", "bytes/target", "configure ms",
                "same ms", "tick us", "view ms", "list ms");
    for (const auto size : sizes) {
        const auto it = measure(size, seed);
        std::printf("%8u %14.0f %13.2f %9.2f %9.1f %9.2f %9.2f\n", size, it.bytes_per_target,
                    it.configure_ms, it.same_ms, it.tick_us, it.view_ms, it.list_ms);
        memory.add(size, it.bytes_per_target * size);
        configure.add(size, it.configure_ms);
        same.add(size, it.same_ms);
        tick.add(size, it.tick_us);
        view.add(size, it.view_ms);
        list.add(size, it.list_ms);
    }
    memory.print("monitor memory", "bytes", "target");
    configure.print("configure", "ms", "target");
    same.print("configure with the same targets", "ms", "target");
    tick.print("tick", "us", "target");
    view.print("build view", "ms", "target");
    list.print("list targets", "ms", "target");
    measure_nodes(seed);
    return 0;
}
