#include "wigeonrill/daemon.h"

#include "wigeonrill/src/daemon/running_node.h"

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <iostream>

namespace wigeonrill::daemon {

namespace {

constexpr milliseconds signal_wait{100};
// Interval for confirming the version of the configuration file. It must be far below owner_lease,
// whose default is 6 h, because without a confirmation within that time this node runs no
// requests with keys made by callers.
constexpr seconds file_confirmation_period{10};

int to_int(exit_code code) {
    return static_cast<int>(code);
}

// Longest time for the orderly end of all threads after the last request was answered.
constexpr milliseconds max_teardown{250};

// Ends the process at the latest after a time. Threads may wait for a peer, the store or the reader
// of the log, and nothing of what they do is needed any more.
void exit_within(milliseconds limit, exit_code code) {
    std::thread([limit, code] {
        std::this_thread::sleep_for(limit);
        std::_Exit(to_int(code));
    }).detach();
}

// Serves requests to the process until the node has stopped.
exit_code serve(running_node& node, process_signals& signals) {
    instant next_confirmation{};
    while (true) {
        if (const auto now = std::chrono::steady_clock::now(); now >= next_confirmation) {
            node.confirm_file_version();
            next_confirmation = now + file_confirmation_period;
        }
        node.close_unusable_connections();
        const auto request = signals.wait_for_request(signal_wait);
        if (request == process_request::reload) {
            node.reload();
        } else if (request == process_request::stop) {
            const auto code =
                node.shut_down(signals) ? exit_code::success : exit_code::requests_aborted;
            exit_within(max_teardown, code);
            return code;
        } else if (node.superseded()) {
            signals.request_stop();
        }
    }
}

} // namespace

int run(int argc, const char* const* argv, const platform_binding& binding) {
    CLI::App app("Reverse proxy of the wigeonrill fleet.", "wigeonrilld");
    std::string path;
    bool check_only = false;
    app.set_version_flag("--version", WIGEONRILL_VERSION);
    app.add_option("--settings", path, "Settings file, JSON with comments")->required();
    app.add_flag("--check", check_only, "Check the settings file and exit");
    app.footer(
        "Example:\n  wigeonrilld --settings examples/scotland/node.json\n\n"
        "Exit codes: 0 graceful shutdown, 2 invalid settings, 3 start failed, 4 requests aborted.");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& failure) {
        return app.exit(failure) == 0 ? 0 : to_int(exit_code::invalid_settings);
    }
    const auto loaded = load_settings(path);
    if (!loaded) {
        std::cerr << "wigeonrilld: " << to_string(loaded.error()) << '\n';
        return to_int(exit_code::invalid_settings);
    }
    if (check_only) {
        std::cout << path << " is valid\n";
        return to_int(exit_code::success);
    }
    process_signals signals;
    auto node = running_node::start(*loaded, binding, signals);
    if (!node) {
        std::cerr << "wigeonrilld: " << to_string(node.error()) << '\n';
        return to_int(exit_code::start_failed);
    }
    return to_int(serve(**node, signals));
}

} // namespace wigeonrill::daemon
