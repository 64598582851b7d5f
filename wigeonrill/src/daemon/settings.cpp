#include "wigeonrill/daemon.h"

#include <algorithm>

namespace wigeonrill::daemon {

namespace {

constexpr milliseconds min_duration{1};
using config::max_duration;
constexpr std::uint64_t max_allowed_connections = 65'536;
constexpr std::uint64_t max_allowed_head_bytes = 1'048'576;
constexpr std::uint64_t max_allowed_nodes = 100'000;
constexpr std::uint64_t max_allowed_body_bytes = std::uint64_t{1} << 40U;

void read_node(config::checked_object node, settings& it) {
    it.domain = domain_name(node.name("domain"));
    it.traffic = node.address("traffic");
    it.admin = node.address("admin");
    if (node.has("peer")) {
        it.peer = node.address("peer");
    }
    node.reject_unread_keys();
}

void read_inventory(config::checked_object inventory, platform::inventory_options& it) {
    it.floor_share = inventory.fraction("floor_share", 1.0, it.floor_share);
    it.weight = inventory.choice("weight", config::health_weight_names, std::optional(it.weight));
    it.cold_start = inventory.duration("cold_start", milliseconds(0), max_duration, it.cold_start);
    it.return_time =
        inventory.duration("return_time", milliseconds(0), max_duration, it.return_time);
    inventory.reject_unread_keys();
}

void read_retries(config::checked_object retries, settings& it) {
    constexpr double max_allowed_share = 10.0;
    constexpr double max_allowed_retries = 1e6;
    it.retry_share = retries.fraction("share", max_allowed_share, it.retry_share);
    it.retries_per_second =
        retries.fraction("per_second", max_allowed_retries, it.retries_per_second);
    it.retry_reserve = retries.fraction("reserve", max_allowed_retries, it.retry_reserve);
    it.shed_may_wait = retries.flag("shed_may_wait", it.shed_may_wait);
    retries.reject_unread_keys();
}

void read_configuration(config::checked_object source, settings& it) {
    it.configuration_file = source.text("file", std::string{});
    if (source.has("platform")) {
        it.platform = source.addresses("platform");
    }
    if (source.has("store")) {
        it.store = source.address("store");
        read_inventory(source.object("inventory"), it.inventory);
    }
    const int sources = (it.configuration_file.empty() ? 0 : 1) + (it.platform.empty() ? 0 : 1) +
                        (it.store ? 1 : 0);
    if (sources != 1) {
        source.fail("", "exactly one source of the configuration is needed",
                    "write one of \"file\", \"platform\" and \"store\"");
    }
    it.start_delay = source.duration("start_delay", milliseconds(0), max_duration, it.start_delay);
    source.reject_unread_keys();
}

void read_peers(config::checked_object peers, settings& it) {
    if (peers.has("seeds")) {
        it.seeds = peers.addresses("seeds");
    }
    it.max_nodes = peers.number("max_nodes", 1, max_allowed_nodes, it.max_nodes);
    it.secret = peers.text("secret", std::string{});
    if (!it.seeds.empty() && !it.peer) {
        peers.fail("seeds", "seeds require a peer address of this node",
                   "add \"peer\" to \"node\"");
    }
    peers.reject_unread_keys();
}

void read_limits(config::checked_object limits, settings& it) {
    it.max_connections = static_cast<std::uint32_t>(
        limits.number("connections", 1, max_allowed_connections, it.max_connections));
    it.max_head_bytes =
        static_cast<std::uint32_t>(limits.size("head", max_allowed_head_bytes, it.max_head_bytes));
    it.max_body_bytes = limits.size("body", max_allowed_body_bytes, it.max_body_bytes);
    it.body_memory = limits.size("body_memory", max_allowed_body_bytes, it.body_memory);
    it.head_time = limits.duration("head_time", min_duration, max_duration, it.head_time);
    it.body_idle = limits.duration("body_idle", min_duration, max_duration, it.body_idle);
    it.idle = limits.duration("idle", min_duration, max_duration, it.idle);
    it.connect_time = limits.duration("connect_time", min_duration, max_duration, it.connect_time);
    limits.reject_unread_keys();
}

// Divides the time between SIGTERM and SIGKILL. During the first half the node accepts connections.
// It takes requests only until the load balancer has removed it, so that they have the rest of the
// time to end; later ones are refused at once. The margin lets the process notice the signal and
// end before the platform kills it.
void split_grace_period(milliseconds grace, settings& it) {
    constexpr milliseconds min_margin{250};
    // The balancer asks once a second and removes a node after two answers that it isn't ready.
    constexpr milliseconds balancer_time{2'500};
    const auto margin = std::max(min_margin, grace / 10);
    it.accept_for = grace / 2;
    it.take_for = std::min(it.accept_for, balancer_time);
    it.finish_within = grace - it.accept_for - margin;
}

void read_shutdown(config::checked_object shutdown, settings& it) {
    it.accept_for = shutdown.duration("accept_for", milliseconds(0), max_duration, it.accept_for);
    it.take_for = it.accept_for;
    it.finish_within =
        shutdown.duration("finish_within", min_duration, max_duration, it.finish_within);
    if (shutdown.has("grace")) {
        if (shutdown.has("accept_for") || shutdown.has("finish_within")) {
            shutdown.fail("grace", "can't be combined with \"accept_for\" or \"finish_within\"",
                          "write either \"grace\" or the other two");
        }
        split_grace_period(shutdown.duration("grace", milliseconds(1'000), max_duration), it);
    }
    shutdown.reject_unread_keys();
}

// Bytes per second; about a tenth of the capacity of a 100 Mbit/s link.
constexpr std::uint64_t max_allowed_count_budget = std::uint64_t{1} << 20U;

void read_placement(config::checked_object placement, settings& it) {
    it.placement = placement.choice("policy", placement_kind_names,
                                    std::optional<placement_kind>(it.placement));
    it.count_budget = placement.size("count_budget", max_allowed_count_budget, it.count_budget);
    it.gates_priorities = placement.flag("gate_priorities", it.gates_priorities);
    placement.reject_unread_keys();
}

void read_log(config::checked_object log, settings& it) {
    it.log_level = log.choice("level", observe::log_level_names,
                              std::optional<observe::log_level>(it.log_level));
    log.reject_unread_keys();
}

result<settings> read_document(const config::json_document& document, const std::string& source) {
    config::parse_context context{source, std::nullopt, nullptr, "docs/reference/settings.md"};
    context.names = config::name_rule::foreign; // The node's domain may be a name of the platform.
    config::checked_object root(document.root(), "", context);
    settings it;
    read_node(root.object("node", true), it);
    read_configuration(root.object("configuration", true), it);
    read_peers(root.object("peers"), it);
    read_limits(root.object("limits"), it);
    read_shutdown(root.object("shutdown"), it);
    read_retries(root.object("retries"), it);
    read_placement(root.object("placement"), it);
    read_log(root.object("log"), it);
    root.reject_unread_keys();
    if (context.first_error) {
        return tl::unexpected<error>(*context.first_error);
    }
    return it;
}

} // namespace

result<settings> load_settings(const std::string& path) {
    const auto document = config::json_document::load(path);
    return document ? read_document(*document, path)
                    : result<settings>(tl::unexpected<error>(document.error()));
}

result<settings> parse_settings(std::string_view text, const std::string& source_name) {
    const auto document = config::json_document::parse(text, source_name);
    return document ? read_document(*document, source_name)
                    : result<settings>(tl::unexpected<error>(document.error()));
}

} // namespace wigeonrill::daemon
