// Measures the work of the control thread against the number of targets: memory and time to apply a
// configuration, time of one tick at the rate of answers that one node gets, time to build a new
// view, and time to list the targets for the administration port. Then measures the work on live
// nodes against their number.
//
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
// Answers per tick of 50 ms of one node at the target size: 460,000 requests/s over 3,700 nodes.
constexpr double answers_per_tick = 460'000.0 / 3'700.0 * 0.05;
constexpr int tick_count = 400;

// Returns a configuration with services of 55 targets and one route each.
config::snapshot_ptr make_configuration(std::uint32_t targets) {
    auto result = std::make_shared<config::snapshot>();
    result->version = 1;
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
            result->vms.push_back(
                {it.address, it.domain, config::vm_role::target, config::vm_state::live});
        }
        config::route route;
        route.name = route_name("route-" + std::to_string(first));
        route.service = service.name;
        result->services.push_back(std::move(service));
        result->routes.push_back(std::move(route));
    }
    return result;
}

/// Processor times and memory of one number of targets.
struct measurement {
    double bytes_per_target{0};
    double configure_ms{0};
    double reconfigure_ms{0}; ///< time to apply a configuration with the same targets again
    double tick_us{0};
    double build_view_ms{0};
    double list_targets_ms{0};
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

// Returns the mean processor time of one tick and its answers, in seconds.
double run_ticks(health::monitor& monitor, const config::snapshot& configuration,
                 random_source& random) {
    manual_clock_source clock;
    double answers_due = 0;
    std::uint64_t id = 0;
    const auto begin = cpu_seconds();
    for (int i = 0; i < tick_count; ++i) {
        clock.advance(milliseconds(50));
        for (answers_due += answers_per_tick; answers_due >= 1; answers_due -= 1) {
            monitor.on_answer(random_answer(configuration, random, clock.now(), ++id));
        }
        static_cast<void>(monitor.tick(clock.now()));
    }
    return (cpu_seconds() - begin) / tick_count;
}

measurement measure(std::uint32_t targets, std::uint64_t seed) {
    seeded_random_source random(seed);
    const auto configuration = make_configuration(targets);
    measurement it;
    // Returns freed memory of the previous measurement to the system; otherwise its reuse would
    // make the growth look too small.
    malloc_trim(0);
    const auto before = resident_bytes();
    auto begin = cpu_seconds();
    health::monitor monitor({node_id("10.0.0.1:7080"), domain_name("domain-0")});
    monitor.configure(configuration, {});
    it.configure_ms = (cpu_seconds() - begin) * 1e3;
    it.tick_us = run_ticks(monitor, *configuration, random) * 1e6;
    it.bytes_per_target = static_cast<double>(resident_bytes() - before) / targets;
    const auto unchanged_configuration = std::make_shared<config::snapshot>(*configuration);
    begin = cpu_seconds();
    monitor.configure(unchanged_configuration, {});
    it.reconfigure_ms = (cpu_seconds() - begin) * 1e3;
    begin = cpu_seconds();
    const auto view = daemon::build_view(configuration, monitor);
    it.build_view_ms = (cpu_seconds() - begin) * 1e3;
    begin = cpu_seconds();
    const auto rows = daemon::list_targets(*configuration, monitor);
    it.list_targets_ms = (cpu_seconds() - begin) * 1e3;
    return it;
}

// Measures the time to set the list of live nodes and to choose the aggregators of one target.
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
    bench::linear_fit reconfigure;
    bench::linear_fit tick;
    bench::linear_fit view;
    bench::linear_fit list;
    std::printf("%8s %14s %13s %9s %9s %9s %9s\n", "targets", "bytes/target", "configure ms",
                "same ms", "tick us", "view ms", "list ms");
    for (const auto size : sizes) {
        const auto it = measure(size, seed);
        std::printf("%8u %14.0f %13.2f %9.2f %9.1f %9.2f %9.2f\n", size, it.bytes_per_target,
                    it.configure_ms, it.reconfigure_ms, it.tick_us, it.build_view_ms,
                    it.list_targets_ms);
        memory.add(size, it.bytes_per_target * size);
        configure.add(size, it.configure_ms);
        reconfigure.add(size, it.reconfigure_ms);
        tick.add(size, it.tick_us);
        view.add(size, it.build_view_ms);
        list.add(size, it.list_targets_ms);
    }
    memory.print("monitor memory", "bytes", "target");
    configure.print("configure", "ms", "target");
    reconfigure.print("configure with the same targets", "ms", "target");
    tick.print("tick", "us", "target");
    view.print("build view", "ms", "target");
    list.print("list targets", "ms", "target");
    measure_nodes(seed);
    return 0;
}
