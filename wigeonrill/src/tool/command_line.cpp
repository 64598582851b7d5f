#include "wigeonrill/tool.h"

#include "commands.h"

#include <CLI/CLI.hpp>

#include <iostream>

namespace wigeonrill::tool {

namespace {

constexpr const char* default_admin_address = "127.0.0.1:9090";
constexpr const char* footer = R"(Examples:
  wigeonrill check examples/scotland/configuration.json
  wigeonrill targets --admin 10.1.0.4:9090
  wigeonrill explain --method GET --path /proofs/881 --admin 10.1.0.4:9090
  wigeonrill trace 9c41d07be2a35f68 node-1.log node-2.log
  wigeonrill config --admin 10.1.0.4:9090 --admin 10.1.0.5:9090 --json

Exit codes: 0 success, 1 negative result, 2 invalid command line, 3 a daemon did not answer.)";

int to_process_exit_code(exit_code code) {
    return static_cast<int>(code);
}

struct arguments {
    std::vector<std::string> files;
    std::string trace;
    std::string request_id;
    std::vector<std::string> logs{"-"};
    std::vector<std::string> admin{default_admin_address};
    bool json{false};
    explain_query explained;
};

void add_remote_options(CLI::App& command, arguments& args) {
    command.add_option("--admin,--node", args.admin, "Administration address of a daemon, ip:port")
        ->capture_default_str();
    command.add_flag("--json", args.json, "Print JSON instead of a table");
}

void add_commands(CLI::App& app, arguments& args) {
    auto* check = app.add_subcommand("check", "Check configuration files as the daemon does");
    check->add_option("FILE", args.files, "Configuration file")->required();
    check->add_flag("--json", args.json, "Print JSON instead of text");
    auto* replay = app.add_subcommand(
        "replay", "Replay a recorded trace with the detector and the baseline policies");
    replay->add_option("TRACE", args.trace, "Trace file; see docs/reference/trace.md")->required();
    replay->add_flag("--json", args.json, "Print JSON instead of a table");
    auto* trace = app.add_subcommand("trace", "Show what the logs of nodes say of one request");
    trace->add_option("ID", args.request_id, "The caller's name of the request")->required();
    trace->add_option("LOG", args.logs, "Log of one or more nodes; -: standard input")
        ->capture_default_str();
    trace->add_flag("--json", args.json, "Print JSON instead of text");
    add_remote_options(*app.add_subcommand("status", "Show the state of nodes"), args);
    add_remote_options(*app.add_subcommand("targets", "Show targets, their state and its reason"),
                       args);
    add_remote_options(*app.add_subcommand("config", "Show the version in force on each node"),
                       args);
    add_remote_options(*app.add_subcommand("drain", "Start the graceful shutdown of a daemon"),
                       args);
    auto* explain = app.add_subcommand(
        "explain", "Show where a request would go now, and why, without sending it");
    auto& query = args.explained;
    explain->add_option("--method,method", query.method, "HTTP method")->capture_default_str();
    explain->add_option("--host", query.host, "Host header");
    explain->add_option("--path,path", query.path, "Path without the query")->required();
    explain->add_option("--workspace", query.workspace, "Workspace of the caller");
    explain->add_option("--size", query.body_bytes, "Bytes of the body")->capture_default_str();
    explain->add_option("--deadline", query.deadline_ms, "Time the caller waits, in milliseconds");
    add_remote_options(*explain, args);
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

exit_code run_command(const std::string& command, const arguments& args) {
    if (command == "check") {
        return check_files(args.files, args.json);
    }
    if (command == "replay") {
        return replay_trace(args.trace, args.json);
    }
    if (command == "trace") {
        return trace_request(args.request_id, args.logs, args.json);
    }
    const auto addresses = parse_addresses(args.admin);
    if (!addresses) {
        std::cerr << "wigeonrill: " << to_string(addresses.error()) << '\n';
        return exit_code::usage;
    }
    if (command == "drain") {
        return drain_nodes(*addresses, args.json);
    }
    if (command == "explain") {
        return explain_request(*addresses, args.explained, args.json);
    }
    return show_page(command, *addresses, args.json);
}

} // namespace

int run(int argc, const char* const* argv) {
    CLI::App app("Administers wigeonrill, a reverse-proxy fleet for targets with gray failures.",
                 "wigeonrill");
    app.set_version_flag("--version", WIGEONRILL_VERSION);
    app.footer(footer);
    app.require_subcommand(1);
    arguments args;
    add_commands(app, args);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& failure) {
        const bool help_requested = app.exit(failure) == 0;
        return to_process_exit_code(help_requested ? exit_code::success : exit_code::usage);
    }
    return to_process_exit_code(run_command(app.get_subcommands().front()->get_name(), args));
}

} // namespace wigeonrill::tool
