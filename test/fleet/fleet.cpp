#include "test/fleet/fleet.h"

#include "wigeonrill/base.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/TemporaryFile.h>
#include <Poco/Timespan.h>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <random>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace fleet_test {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::array<const char*, 3> domain_names{"edi-1", "edi-2", "edi-3"};

constexpr const char* own_ip = "127.0.0.1";
// The stand-in targets don't listen at this address, so connections to it are refused.
constexpr const char* ip_without_targets = "127.0.0.2";
constexpr const char* ip_of_full_listeners = "127.0.0.3";

std::string loopback(int port) {
    return std::string(own_ip) + ":" + std::to_string(port);
}

} // namespace

std::string binary(const std::string& name) {
    const char* folder = std::getenv("WIGEONRILL_BIN");
    return std::string(folder != nullptr ? folder : "build/bin") + "/" + name;
}

std::vector<int> free_ports(int count) {
    std::vector<Poco::Net::ServerSocket> sockets;
    std::vector<int> ports;
    for (int i = 0; i < count; ++i) {
        sockets.emplace_back(Poco::Net::SocketAddress("127.0.0.1", 0));
        ports.push_back(sockets.back().address().port());
    }
    return ports;
}

answer send(int port, const request& to_send) {
    answer got;
    try {
        Poco::Net::HTTPClientSession session("127.0.0.1", static_cast<Poco::UInt16>(port));
        session.setTimeout(Poco::Timespan(to_send.timeout_s, 0));
        Poco::Net::HTTPRequest message(to_send.method, to_send.path, "HTTP/1.1");
        message.setContentLength(static_cast<std::streamsize>(to_send.body.size()));
        for (const auto& [name, value] : to_send.headers) {
            message.set(name, value);
        }
        session.sendRequest(message) << to_send.body;
        Poco::Net::HTTPResponse response;
        auto& stream = session.receiveResponse(response);
        Poco::StreamCopier::copyToString(stream, got.body);
        const auto expected = response.getContentLength64();
        // POCO doesn't report a truncated body as an error, so the length is compared here.
        const bool whole = to_send.method == "HEAD" || expected < 0 ||
                           expected == static_cast<Poco::Int64>(got.body.size());
        got.status = whole ? response.getStatus() : 0;
        for (const auto& [name, value] : response) {
            got.headers[name] = value;
        }
    } catch (const Poco::Exception&) {
        got.status = 0;
    }
    return got;
}

std::string make_key() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = static_cast<std::uint64_t>(std::chrono::floor<milliseconds>(now).count());
    std::random_device device;
    std::array<char, 40> buf{};
    std::snprintf(buf.data(), buf.size(), "%08x-%04x-7%03x-8%03x-%08x%04x",
                  static_cast<unsigned>(ms >> 16U), static_cast<unsigned>(ms & 0xffffU),
                  device() & 0xfffU, device() & 0xfffU, static_cast<unsigned>(device()),
                  device() & 0xffffU);
    return buf.data();
}

namespace {

// Replaces the calling process with a program whose output is discarded. Exits with 127 on failure.
void execute(std::vector<std::string>& command_line) {
    std::vector<char*> argv;
    argv.reserve(command_line.size() + 1);
    for (auto& it : command_line) {
        argv.push_back(it.data());
    }
    argv.push_back(nullptr);
    const auto* stderr_redirected = std::freopen("/dev/null", "w", stderr);
    const auto* stdout_redirected = std::freopen("/dev/null", "w", stdout);
    if (stderr_redirected != nullptr && stdout_redirected != nullptr) {
        execv(argv.front(), argv.data());
    }
    _exit(127);
}

} // namespace

process::process(const std::string& program, const std::vector<std::string>& arguments)
    : pid_(fork()) {
    if (pid_ == 0) {
        std::vector<std::string> command_line{program};
        command_line.insert(command_line.end(), arguments.begin(), arguments.end());
        execute(command_line);
    }
}

process::~process() {
    if (!has_exited_) {
        signal(SIGKILL);
        wait();
    }
}

void process::signal(int number) const {
    if (!has_exited_) {
        kill(pid_, number);
    }
}

int process::wait() {
    int status = 0;
    if (!has_exited_) {
        waitpid(pid_, &status, 0);
        has_exited_ = true;
    }
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

full_listener::full_listener(const std::string& ip, int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    const auto* generic = reinterpret_cast<const sockaddr*>(&address);
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockets_.push_back(listener);
    if (bind(listener, generic, sizeof(address)) != 0 || listen(listener, 0) != 0) {
        throw std::runtime_error("cannot listen at " + ip + ":" + std::to_string(port));
    }
    constexpr int connections = 4; // more than the shortest queue holds
    for (int i = 0; i < connections; ++i) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        sockets_.push_back(fd);
        static_cast<void>(connect(fd, generic, sizeof(address)));
    }
}

full_listener::~full_listener() {
    for (const int it : sockets_) {
        close(it);
    }
}

fleet::fleet(int nodes, int targets_per_service, int slots) : slots_(slots) {
    folder_ = Poco::TemporaryFile::tempName();
    std::system(("mkdir -p " + folder_).c_str());
    const auto ports = free_ports(2 * targets_per_service + 3 * nodes + 1);
    auto next = ports.begin();
    for (const std::string service : {"lookups", "orders"}) {
        for (int i = 1; i <= targets_per_service; ++i) {
            target_ports_[service + "-" + std::to_string(i)] = *next++;
        }
    }
    unused_port_ = *next++;
    for (int i = 0; i < nodes; ++i) {
        traffic_ports_.push_back(*next++);
        peer_ports_.push_back(*next++);
        admin_ports_.push_back(*next++);
    }
    for (const auto& [name, port] : target_ports_) {
        standin_targets_.push_back(std::make_unique<process>(
            binary("standin_target"),
            std::vector<std::string>{"--port", std::to_string(port), "--latency-ms", "5", "--slots",
                                     std::to_string(slots_)}));
    }
    nodes_.resize(nodes);
    for (const auto& [name, port] : target_ports_) {
        static_cast<void>(eventually(
            [&, it = port] {
                return send(it, {"GET", "/standin/counts"}).status == 200;
            },
            10));
    }
}

fleet::~fleet() {
    nodes_.clear();
    standin_targets_.clear();
    std::system(("rm -r " + folder_).c_str());
}

std::string fleet::inventory_path(int node) const {
    return folder_ + "/inventory-" + std::to_string(node) + ".json";
}

void fleet::write_inventory(int node, int version, const std::string& target_ip) const {
    json services;
    for (const auto& [name, port] : target_ports_) {
        const auto dash_position = name.find('-');
        const auto number = std::stoi(name.substr(dash_position + 1));
        auto& service = services[name.substr(0, dash_position)];
        service["floor_slots"] = slots_;
        service["weight"] = "detection";
        service["targets"][name] = {{"address", target_ip + ":" + std::to_string(port)},
                                    {"domain", domain_names.at(number % 3)},
                                    {"slots", slots_},
                                    {"cold_start", "0s"}};
    }
    json owners = json::array();
    for (const int it : traffic_ports_) {
        owners.push_back(loopback(it));
    }
    json vms = json::array();
    for (std::size_t i = 0; i < peer_ports_.size(); ++i) {
        vms.push_back({{"address", loopback(peer_ports_[i])},
                       {"domain", domain_names.at(i % 3)},
                       {"role", "node"},
                       {"state", "live"}});
    }
    json limits = {{"total", "10s"}, {"first_byte", "1s"}, {"body_idle", "10s"}};
    const json document = {{"format", 1},
                           {"version", version},
                           {"published", "2026-12-01T00:00:00Z"},
                           {"services", services},
                           {"routes",
                            {{"lookup",
                              {{"service", "lookups"},
                               {"methods", {"GET", "HEAD"}},
                               {"path_prefix", "/"},
                               {"repeat", "idempotent"},
                               {"limits", limits}}},
                             {"order",
                              {{"service", "orders"},
                               {"methods", {"POST"}},
                               {"path_prefix", "/"},
                               {"repeat", "at_most_once"},
                               {"limits", limits}}}}},
                           {"key_owners", json::array({{{"announced", "2026-11-01T00:00:00Z"},
                                                        {"effective_from", "2026-11-20T00:00:00Z"},
                                                        {"owners", owners}}})},
                           {"vms", vms}};
    std::ofstream(inventory_path(node)) << document.dump(2);
}

std::string fleet::write_settings(int node, bool with_config_file) const {
    json seeds = json::array();
    for (const int it : peer_ports_) {
        seeds.push_back(loopback(it));
    }
    json source = {{"platform", json::array({loopback(unused_port_)})}};
    if (with_config_file) {
        source = {{"file", inventory_path(node)}};
    }
    const json document = {{"node",
                            {{"domain", domain_names.at(node % 3)},
                             {"traffic", loopback(traffic_ports_[node])},
                             {"peer", loopback(peer_ports_[node])},
                             {"admin", loopback(admin_ports_[node])}}},
                           {"configuration", source},
                           {"peers", {{"seeds", seeds}}},
                           {"shutdown", {{"accept_for", "300ms"}, {"finish_within", "30s"}}}};
    auto path = folder_ + "/node-" + std::to_string(node) + ".json";
    std::ofstream(path) << document.dump(2);
    return path;
}

void fleet::start_node(int node, bool with_config_file) {
    write_inventory(node, 1, own_ip);
    start_process(node, with_config_file);
}

void fleet::start_cut_off_node(int node) {
    write_inventory(node, 1, ip_without_targets);
    start_process(node, true);
}

void fleet::start_node_with_hanging_connections(int node) {
    for (const auto& [name, port] : target_ports_) {
        full_listeners_.push_back(std::make_unique<full_listener>(ip_of_full_listeners, port));
    }
    write_inventory(node, 1, ip_of_full_listeners);
    start_process(node, true);
}

void fleet::connect_node(int node) {
    write_inventory(node, 2, own_ip);
    nodes_.at(node)->signal(SIGHUP);
}

void fleet::start_process(int node, bool with_config_file) {
    nodes_.at(node) = std::make_unique<process>(
        binary("wigeonrilld"),
        std::vector<std::string>{"--settings", write_settings(node, with_config_file)});
    static_cast<void>(eventually(
        [&] {
            return send(admin_port(node), {"GET", "/ready"}).status == 200;
        },
        20));
}

void fleet::kill_node(int index) {
    node(index).signal(SIGKILL);
    node(index).wait();
}

void fleet::set_target_behaviour(const std::string& target, const std::string& text) const {
    static_cast<void>(send(target_ports_.at(target), {"POST", "/standin/control", {}, text}));
}

int fleet::executions_of_key(const std::string& key) const {
    int total = 0;
    for (const auto& [name, port] : target_ports_) {
        const auto counts =
            json::parse(send(port, {"GET", "/standin/counts"}).body, nullptr, false);
        if (counts.is_object()) {
            total += counts.value("executions_per_key", json::object()).value(key, 0);
        }
    }
    return total;
}

int fleet::executions_at(const std::string& target) const {
    const auto text = send(target_ports_.at(target), {"GET", "/standin/counts"}).body;
    const auto counts = json::parse(text, nullptr, false);
    return counts.is_object() ? counts.value("executions", 0) : 0;
}

bool fleet::is_up(const std::string& target) const {
    return send(target_ports_.at(target), {"GET", "/standin/counts"}).status == 200;
}

std::string fleet::observed_state(int node, const std::string& target) const {
    const auto rows = json::parse(send(admin_port(node), {"GET", "/targets"}).body, nullptr, false);
    for (const auto& it : rows.is_array() ? rows : json::array()) {
        if (it.value("target", "") == target) {
            return it.value("state", "");
        }
    }
    return {};
}

std::vector<std::string> fleet::targets() const {
    std::vector<std::string> names;
    for (const auto& [name, port] : target_ports_) {
        names.push_back(name);
    }
    return names;
}

bool eventually(const std::function<bool()>& condition, int limit_s) {
    const auto end = steady_clock::now() + std::chrono::seconds(limit_s);
    while (!condition()) {
        if (steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return true;
}

} // namespace fleet_test
