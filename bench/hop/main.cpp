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

/// Alternates measurements of direct requests and of requests through the proxy, so that a change
/// in the load of the machine affects both alike. Prints their percentiles and differences.
void compare(const char* name, load_generator& direct, load_generator& proxied, double rate,
             const program_options& options) {
    samples direct_times;
    samples proxied_times;
    for (int round = 0; round < options.rounds; ++round) {
        append(direct_times, direct.run(rate, seconds{options.seconds}));
        append(proxied_times, proxied.run(rate, seconds{options.seconds}));
    }
    std::printf("%s: %zu requests each way\n", name, proxied_times.size());
    for (const double quantile : {0.5, 0.99, 0.999}) {
        const auto direct_ms = percentile(direct_times, quantile);
        const auto proxied_ms = percentile(proxied_times, quantile);
        std::printf("  p%-5g direct %.3f ms, proxied %.3f ms, added %.3f ms\n", 100 * quantile,
                    direct_ms, proxied_ms, proxied_ms - direct_ms);
    }
}

void print_burst(const char* name, const endpoint& address) {
    const auto times = measure_burst(address, burst_connections);
    std::printf("burst of %d connections %s: p50 %.1f ms, slowest %.1f ms\n", burst_connections,
                name, percentile(times, 0.5), percentile(times, 1.0));
}

/// Prints throughput and the proxy's peak memory with 1, 8 and 64 uploads at once. Bodies of the
/// first size are held in memory, as far as there is room; those of the second one are streamed.
void measure_all_uploads() {
    constexpr int total_uploads = 512;
    for (const std::size_t body_bytes : {std::size_t{360'000}, std::size_t{1'000'000}}) {
        for (const int connections : {1, 8, 64}) {
            const server_process target(run_target);
            const server_process proxy(
                [&](const auto& report) { run_proxy(target.address(), report); });
            const int uploads = total_uploads / connections;
            const auto direct = measure_uploads(target.address(), connections, uploads, body_bytes);
            const auto proxied = measure_uploads(proxy.address(), connections, uploads, body_bytes);
            std::printf("%d uploads of %zu bytes at once: direct %.0f MB/s, proxied %.0f MB/s, "
                        "ratio %.2f, proxy %ld KB at its peak\n",
                        connections, body_bytes, direct, proxied, proxied / direct,
                        proxy.memory_kb("VmHWM"));
        }
    }
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
        load_generator direct(target.address(), few_connections);
        load_generator proxied(proxy.address(), few_connections);
        compare("124 requests/s over 8 connections", direct, proxied, usual_rate, options);
    }
    load_generator direct(target.address(), burst_connections);
    load_generator proxied(proxy.address(), burst_connections);
    compare("2000 requests/s over 330 connections", direct, proxied, high_rate, options);
    std::printf("proxy with 330 connections: %ld KB resident, %ld KB at its peak\n",
                proxy.memory_kb("VmRSS"), proxy.memory_kb("VmHWM"));
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app("Measures what one hop through the proxy adds.");
    program_options options;
    app.add_option("--seconds", options.seconds, "length of each measurement in seconds");
    app.add_option("--rounds", options.rounds,
                   "number of measurements, each with and without the proxy");
    bool uploads = false;
    app.add_flag("--uploads", uploads, "measure uploads instead of small requests");
    CLI11_PARSE(app, argc, argv);
    if (uploads) {
        measure_all_uploads();
    } else {
        measure(options);
    }
    return 0;
}
