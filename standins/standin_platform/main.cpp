#include "http_service.h"

#include <CLI/CLI.hpp>
#include <Poco/Exception.h>
#include <csignal>
#include <iostream>

namespace {

// Reloads the file on each SIGHUP and returns on any other of the signals.
void reload_until_stopped(standin_platform::publication& values, const sigset_t& signals) {
    for (int number = 0; sigwait(&signals, &number) == 0 && number == SIGHUP;) {
        if (const auto done = values.reload(); !done) {
            std::cerr << "standin: " << wigeonrill::to_string(done.error()) << std::endl;
        }
    }
}

} // namespace

int main(int argc, char** argv) {
    CLI::App options("Stand-in for the platform's configuration service");
    std::string path;
    std::string listen = "127.0.0.1:0";
    options.add_option("file", path, "Configuration document to publish")->required();
    options.add_option("--listen", listen, "Address and port; port 0 chooses a free one")
        ->capture_default_str();
    CLI11_PARSE(options, argc, argv);

    // Blocks the signals before the server's threads start, which inherit the mask, so that only
    // sigwait() receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    standin_platform::publication values(path);
    if (const auto done = values.reload(); !done) {
        std::cerr << "standin: " << wigeonrill::to_string(done.error()) << std::endl;
        return 1;
    }
    try {
        const standin_platform::http_service service(values, listen);
        std::cout << "listening on " << service.address() << std::endl;
        reload_until_stopped(values, signals);
    } catch (const Poco::Exception& fault) {
        std::cerr << "standin: " << listen << ": " << fault.displayText() << std::endl;
        return 1;
    }
    return 0;
}
