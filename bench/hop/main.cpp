#include "load.h"
#include "processes.h"

#include <CLI/CLI.hpp>
#include <cstdio>

namespace {

using namespace wigeonrill;
using namespace wigeonrill::bench;

constexpr int burst_connections = 330;

struct program_options {
    int seconds{4};
    int rounds{3};
};

void append(samples& all, const samples& more) {
    all.insert(all.end(), more.begin(), more.end());
}

/// Measures direct and through the proxy in turn, so that a change of the machine's load meets
/// both.
void compare(const char* name, load& direct, load& proxied, double rate,
             const program_options& options) {
    samples without;
    samples with;
    for (int round = 0; round < options.rounds; ++round) {
        append(without, direct.run(rate, seconds{options.seconds}));
        append(with, proxied.run(rate, seconds{options.seconds}));
    }
    std::printf("%s: %zu requests each way\n", name, with.size());
    for (const double share : {0.5, 0.99, 0.999}) {
        const auto base = percentile(without, share);
        const auto total = percentile(with, share);
        std::printf("  p%-5g direct %.3f ms, proxied %.3f ms, added %.3f ms\n", 100 * share, base,
                    total, total - base);
    }
}

void print_burst(const char* name, const endpoint& address) {
    const auto times = burst(address, burst_connections);
    std::printf("burst of %d connections %s: p50 %.1f ms, slowest %.1f ms\n", burst_connections,
                name, percentile(times, 0.5), percentile(times, 1.0));
}

void measure(const program_options& options) {
    constexpr int few_connections = 8;
    constexpr double usual_rate = 124;
    constexpr double high_rate = 2000;
    const server_process target(run_target);
    const server_process proxy([&](const auto& report) { run_proxy(target.address(), report); });
    std::printf("proxy at start: %ld KB resident\n", proxy.memory_kb("VmRSS"));
    print_burst("direct", target.address());
    print_burst("proxied", proxy.address());
    {
        load direct(target.address(), few_connections);
        load proxied(proxy.address(), few_connections);
        compare("124 requests/s over 8 connections", direct, proxied, usual_rate, options);
    }
    load direct(target.address(), burst_connections);
    load proxied(proxy.address(), burst_connections);
    compare("2000 requests/s over 330 connections", direct, proxied, high_rate, options);
    std::printf("proxy with 330 connections: %ld KB resident, %ld KB at its peak\n",
                proxy.memory_kb("VmRSS"), proxy.memory_kb("VmHWM"));
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app("Measures what one hop through the proxy adds.");
    program_options options;
    app.add_option("--seconds", options.seconds, "length of each measurement");
    app.add_option("--rounds", options.rounds, "measurements each way");
    CLI11_PARSE(app, argc, argv);
    measure(options);
    return 0;
}
