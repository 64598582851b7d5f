#include "target_handler.h"

#include "wigeonrill/base.h"

#include <CLI/CLI.hpp>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <csignal>
#include <cstdio>

namespace {

using namespace wigeonrill;

struct program_options {
    std::string address{"127.0.0.1"};
    std::uint16_t port{0};
    std::uint64_t seed{1};
    standins::target_settings settings;
};

void add_options(CLI::App& app, program_options& options) {
    auto& settings = options.settings;
    app.add_option("--address", options.address, "numeric IP address to listen on");
    app.add_option("--port", options.port, "port to listen on; 0: the system chooses one");
    app.add_option("--seed", options.seed, "seed of the random numbers");
    app.add_option("--latency-ms", settings.latency_ms, "median latency in milliseconds");
    app.add_option("--spread", settings.spread,
                   "standard deviation of the latency's natural logarithm");
    app.add_option("--slots", settings.slots, "requests in service at once; 0: unlimited");
    app.add_option("--body-bytes", settings.body_bytes, "size of each answer's body in bytes");
    app.add_option("--error-rate", settings.error_rate, "share of requests answered with 500");
    app.add_option("--crash-path", settings.crash_path, "a request of this path ends the process");
    app.add_flag("--hang", settings.hang, "requests get no answer");
    app.add_flag("--drain", settings.drain, "answers carry Target-Draining: 1");
    app.add_flag("--truncate", settings.truncate, "answers end after half of the announced body");
}

void wait_for_signal(const sigset_t& signals) {
    int received = 0;
    sigwait(&signals, &received);
}

int serve(const program_options& options) {
    // Blocks the signals before any thread starts, since threads inherit the mask, so that only
    // sigwait() receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    constexpr int backlog = 1024;
    constexpr int max_threads = 2048;
    standins::target_behaviour behaviour(options.settings, options.seed);
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(options.address, options.port), true);
    socket.listen(backlog);
    Poco::ThreadPool threads(2, max_threads);
    auto* params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(max_threads);
    params->setMaxQueued(backlog);
    params->setMaxKeepAliveRequests(0);
    Poco::Net::HTTPServer server(new standins::target_handler_factory(behaviour), threads, socket,
                                 params);
    server.start();
    std::printf("standin_target: listening on %s\n", socket.address().toString().c_str());
    std::fflush(stdout);
    wait_for_signal(signals);
    server.stopAll(true);
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app("Stand-in for a target: answers HTTP requests with settable faults.");
    program_options options;
    add_options(app, options);
    CLI11_PARSE(app, argc, argv);
    try {
        return serve(options);
    } catch (const Poco::Exception& failure) {
        std::fprintf(stderr, "standin_target: %s\n", failure.displayText().c_str());
        return 1;
    }
}
