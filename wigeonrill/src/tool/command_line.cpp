#include "wigeonrill/tool.h"

#include "commands.h"

#include <CLI/CLI.hpp>

#include <iostream>

namespace wigeonrill::tool {

namespace {

constexpr const char* default_admin = "127.0.0.1:9090";
constexpr const char* footer = R"(Examples:
  wigeonrill check examples/scotland/inventory.json
  wigeonrill targets --admin 10.1.0.4:9090
  wigeonrill explain --method GET --path /proofs/881 --admin 10.1.0.4:9090
  wigeonrill config --admin 10.1.0.4:9090 --admin 10.1.0.5:9090 --json

Exit codes: 0 success, 1 the answer is no, 2 wrong command line, 3 a daemon did not answer.)";

int to_int(exit_code code) {
    return static_cast<int>(code);
}

struct arguments {
    std::vector<std::string> files;
    std::string trace;
    std::vector<std::string> admin{default_admin};
    bool json{false};
    std::string method{"GET"};
    std::string host;
    std::string path{"/"};
};

void add_remote_options(CLI::App& command, arguments& given) {
    command.add_option("--admin", given.admin, "Administration address of a daemon, ip:port")
        ->capture_default_str();
    command.add_flag("--json", given.json, "Print JSON instead of a table");
}

void add_commands(CLI::App& app, arguments& given) {
    auto* check = app.add_subcommand("check", "Check configuration files as the daemon does");
    check->add_option("FILE", given.files, "Configuration file")->required();
    check->add_flag("--json", given.json, "Print JSON instead of text");
    auto* replay =
        app.add_subcommand("replay", "Replay a recorded trace over the detector and the baselines");
    replay->add_option("TRACE", given.trace, "Trace file, docs/reference/trace.md")->required();
    replay->add_flag("--json", given.json, "Print JSON instead of a table");
    add_remote_options(*app.add_subcommand("status", "Show the state of nodes"), given);
    add_remote_options(*app.add_subcommand("targets", "Show targets, their state and why"), given);
    add_remote_options(*app.add_subcommand("config", "Show the version in force on each node"),
                       given);
    add_remote_options(*app.add_subcommand("drain", "Shut a daemon down without cutting a request"),
                       given);
    auto* explain = app.add_subcommand("explain", "Show where a request could go now, and why");
    explain->add_option("--method", given.method, "HTTP method")->capture_default_str();
    explain->add_option("--host", given.host, "Host header");
    explain->add_option("--path", given.path, "Path without the query")->required();
    add_remote_options(*explain, given);
}

result<std::vector<endpoint>> parse_addresses(const std::vector<std::string>& texts) {
    std::vector<endpoint> addresses;
    for (const auto& it : texts) {
        auto address = parse_endpoint(it);
        if (!address) {
            return tl::unexpected<error>(address.error());
        }
        addresses.push_back(std::move(*address));
    }
    return addresses;
}

exit_code dispatch(const std::string& command, const arguments& given) {
    if (command == "check") {
        return check_files(given.files, given.json);
    }
    if (command == "replay") {
        return replay_trace(given.trace, given.json);
    }
    const auto addresses = parse_addresses(given.admin);
    if (!addresses) {
        std::cerr << "wigeonrill: " << to_string(addresses.error()) << '\n';
        return exit_code::usage;
    }
    if (command == "drain") {
        return drain_nodes(*addresses, given.json);
    }
    if (command == "explain") {
        return explain_request(*addresses, given.method, given.host, given.path, given.json);
    }
    return show_page(command, *addresses, given.json);
}

} // namespace

int run(int argc, const char* const* argv) {
    CLI::App app("Administers wigeonrill, a reverse-proxy fleet for targets with gray failures.",
                 "wigeonrill");
    app.set_version_flag("--version", WIGEONRILL_VERSION);
    app.footer(footer);
    app.require_subcommand(1);
    arguments given;
    add_commands(app, given);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& failure) {
        const bool asked = app.exit(failure) == 0;
        return to_int(asked ? exit_code::success : exit_code::usage);
    }
    return to_int(dispatch(app.get_subcommands().front()->get_name(), given));
}

} // namespace wigeonrill::tool
