#include "wigeonrill/daemon.h"

#include "wigeonrill/src/daemon/running_node.h"

#include <random>

namespace wigeonrill::daemon {

namespace {

constexpr std::uint64_t max_document_bytes = 256ULL * 1024 * 1024;

using observe::log_level;
using observe::log_line;
using observe::log_subsystem;

std::uint64_t random_seed() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

peers::incarnation new_incarnation(const clock_source& clock, random_source& random) {
    const auto started = std::chrono::floor<milliseconds>(clock.wall_now().time_since_epoch());
    return {static_cast<std::uint64_t>(started.count()),
            static_cast<std::uint32_t>(random.next_below(std::uint64_t{1} << 31U))};
}

// Combines an incarnation into one number: start time in the upper bits, random bits in the lower.
std::uint64_t incarnation_number(const peers::incarnation& process) {
    constexpr unsigned random_width = 16;
    return (process.started_ms << random_width) |
           (process.nonce & ((std::uint32_t{1} << random_width) - 1));
}

traffic::server_options make_server_options(const settings& node_settings) {
    traffic::server_options options;
    options.listen = node_settings.traffic;
    options.via = "wigeonrill";
    options.max_connections = node_settings.max_connections;
    options.max_head_bytes = node_settings.max_head_bytes;
    options.max_body_bytes = node_settings.max_body_bytes;
    options.body_memory_bytes = node_settings.body_memory;
    options.head_time = node_settings.head_time;
    options.body_idle = node_settings.body_idle;
    options.idle = node_settings.idle;
    options.connect_time = node_settings.connect_time;
    return options;
}

dispatch::core_options make_core_options(const settings& node_settings,
                                         const platform_binding& binding) {
    dispatch::core_options options;
    if (node_settings.store) {
        options.path_matching = binding.path_matching;
    }
    options.shed_may_wait = node_settings.shed_may_wait;
    options.gates_priorities = node_settings.gates_priorities;
    options.own_domain = node_settings.domain;
    options.publish_outstanding = node_settings.count_budget > 0;
    if (node_settings.placement == placement_kind::least_cost) {
        options.make_policy = [] { return std::make_unique<routing::least_cost>(); };
    }
    options.retries = {node_settings.retry_share, node_settings.retries_per_second,
                       node_settings.retry_reserve};
    return options;
}

result<config::change_set> read_configuration(const std::string& path,
                                              const config::change_set* previous) {
    const auto text = config::read_file(path, max_document_bytes);
    if (!text) {
        return tl::unexpected<error>(text.error());
    }
    return config::split_document(*text, path, previous);
}

// Reads a configuration file, after a check that reports errors with their line or key path, as the
// command-line tool's check does.
result<config::change_set> load_checked_configuration(const std::string& path,
                                                      const config::change_set* previous) {
    const auto checked = config::load_file(path);
    if (!checked) {
        return tl::unexpected<error>(checked.error());
    }
    return read_configuration(path, previous);
}

} // namespace

struct running_node::components {
    components(const settings& given_settings, platform_binding given_binding,
               process_signals& stop_signals)
        : node_settings(given_settings), binding(std::move(given_binding)), signals(stop_signals),
          log(observe::make_stdout_sink(given_settings.log_level)), dispatch_random(random_seed()),
          peer_random(random_seed()), platform_random(random_seed()),
          process(new_incarnation(clock, peer_random)), events(*log),
          dispatcher({given_settings.traffic, incarnation_number(process),
                      make_core_options(given_settings, binding)},
                     clock, dispatch_random, events) {}

    settings node_settings;
    platform_binding binding;
    process_signals& signals;
    system_clock_source clock;
    std::unique_ptr<observe::log_sink> log;
    observe::metric_registry metrics;
    seeded_random_source dispatch_random; ///< used under the dispatcher's lock only
    seeded_random_source peer_random;     ///< used by the control thread only
    seeded_random_source platform_random; ///< used by the reader of the platform or store only
    peers::incarnation process;
    traffic_event_sink events;
    dispatch::request_dispatcher dispatcher;

    std::unique_ptr<peers::udp_transport> network;
    std::unique_ptr<peers::gossip_node> gossip;
    std::unique_ptr<peers::peer_link> link;
    std::unique_ptr<control_loop> loop;
    std::unique_ptr<node_admin_queries> queries;
    std::unique_ptr<control_thread> control;
    std::unique_ptr<reachability_checker> checker;
    std::unique_ptr<platform_reader_adapter> platform_reader;
    std::unique_ptr<store_reader_adapter> store_reader;
    std::unique_ptr<peers::change_server> configuration_server;
    std::unique_ptr<traffic::server> traffic_server;
    std::unique_ptr<admin_server> admin;
    /// Last valid content of the configuration file. Replaced by the main thread only; tasks of the
    /// control thread share ownership of the content that they were created with.
    std::shared_ptr<const config::change_set> file_content;

    result<void> open_peers();
    result<void> read_file();
    void make_loop();
    void start_readers();
    result<void> start_change_server();
    result<void> start_traffic_server();
    void write_log(log_level level, const log_line& line) {
        log->write(level, log_subsystem::daemon, line);
    }
    traffic::request_sender sender_of_marked_request(const std::string& ip) const;
    void apply_file_content(const std::shared_ptr<const config::change_set>& content);
};

result<void> running_node::components::open_peers() {
    if (!node_settings.peer) {
        return {};
    }
    auto opened = peers::udp_transport::open(*node_settings.peer);
    if (!opened) {
        return tl::unexpected<error>(opened.error());
    }
    network = std::move(*opened);
    events.on_urgent_event([this] { network->wake(); });
    peers::gossip_settings gossip_settings;
    gossip_settings.address = *node_settings.peer;
    gossip_settings.domain = node_settings.domain;
    gossip_settings.process = process;
    gossip_settings.seeds = node_settings.seeds;
    // With a store there is no list of nodes, since the store has targets only, and the platform
    // assigns each address to one process.
    if (node_settings.traffic.ip == node_settings.peer->ip) {
        gossip_settings.traffic_port = node_settings.traffic.port;
    }
    gossip_settings.load_bytes_per_second = static_cast<double>(node_settings.count_budget);
    gossip_settings.accepts_unlisted_peers = node_settings.store.has_value();
    gossip_settings.exclusive_address = node_settings.store.has_value();
    gossip = std::make_unique<peers::gossip_node>(gossip_settings, clock, peer_random);
    link = std::make_unique<peers::peer_link>(*gossip, *network, clock, node_settings.secret);
    return {};
}

void running_node::components::make_loop() {
    const auto self = node_id(to_string(node_settings.peer.value_or(node_settings.traffic)));
    loop = std::make_unique<control_loop>(control_dependencies{clock, *log, metrics, events,
                                                               dispatcher, gossip.get(),
                                                               node_settings.max_nodes},
                                          self, node_settings.domain);
    control = std::make_unique<control_thread>(*loop, link.get(), gossip.get(), clock);
    queries = std::make_unique<node_admin_queries>(
        node_identity{to_string(node_settings.traffic), node_settings.domain,
                      incarnation_number(process), clock.now()},
        *loop, *control, dispatcher, metrics, clock);
}

result<void> running_node::components::read_file() {
    if (node_settings.configuration_file.empty()) {
        return {};
    }
    auto changes = load_checked_configuration(node_settings.configuration_file, file_content.get());
    if (!changes) {
        return tl::unexpected<error>(changes.error());
    }
    file_content = std::make_shared<const config::change_set>(std::move(*changes));
    return {};
}

void running_node::components::apply_file_content(
    const std::shared_ptr<const config::change_set>& content) {
    if (content) {
        loop->apply_changes(*content, node_settings.configuration_file);
        loop->confirm(content->version);
    }
}

void running_node::components::start_readers() {
    if (!node_settings.platform.empty()) {
        platform_reader = std::make_unique<platform_reader_adapter>(node_settings, *control, *loop,
                                                                    clock, platform_random, *log);
        // Informs the reader, so that it does not read a version that came from a peer again.
        loop->on_configuration_change([this] { platform_reader->update_reader(); });
    }
    if (node_settings.store) {
        store_reader = std::make_unique<store_reader_adapter>(
            node_settings, binding.open_store(*node_settings.store, clock), *control, *loop, clock,
            platform_random, *log);
    }
}

result<void> running_node::components::start_change_server() {
    if (!node_settings.peer) {
        return {};
    }
    peers::change_server_callbacks source;
    source.changes = [this](const config::change_base& base) {
        return control->run_query([base](control_loop& it) { return it.changes_for(base); });
    };
    source.status = [this] { return queries->status_json(); };
    const auto count = [this](const std::string& answer) {
        metrics.increment_counter("wigeonrill_configuration_calls_total",
                                  "Calls of other nodes for configuration changes by answer.",
                                  {{"answer", answer}});
    };
    source.on_answer_sent = [this, count](std::size_t bytes) {
        count("changes");
        metrics.increment_counter("wigeonrill_configuration_sent_bytes_total",
                                  "Bytes of configuration sent to other nodes.", {},
                                  static_cast<double>(bytes));
    };
    source.on_busy = [count] { count("busy"); };
    auto started = peers::change_server::start(*node_settings.peer, std::move(source));
    if (!started) {
        return tl::unexpected<error>(started.error());
    }
    configuration_server = std::move(*started);
    return {};
}

traffic::request_sender
running_node::components::sender_of_marked_request(const std::string& ip) const {
    const auto known = loop->state()->peers;
    if (!known || !known->all.contains(ip)) {
        return traffic::request_sender::unknown_node;
    }
    return known->vouching.contains(ip) ? traffic::request_sender::vouching_node
                                        : traffic::request_sender::node;
}

result<void> running_node::components::start_traffic_server() {
    auto options = make_server_options(node_settings);
    if (node_settings.store) {
        options.names = binding.headers;
    }
    options.identify_node = [this](const std::string& ip) { return sender_of_marked_request(ip); };
    options.log = [this](const std::string& line) {
        log->write(log_level::info, log_subsystem::traffic,
                   log_line(observe::without_prefix(line, log_subsystem::traffic)));
    };
    traffic_server = std::make_unique<traffic::server>(std::move(options), dispatcher, clock);
    if (auto started = traffic_server->start(); !started) {
        return started;
    }
    return {};
}

running_node::running_node(std::unique_ptr<components> initial) : components_(std::move(initial)) {}

running_node::~running_node() {
    // Threads end before the objects that they use: first the servers for administration, callers
    // and peers, then the control thread.
    components_->admin.reset();
    components_->traffic_server.reset();
    components_->configuration_server.reset();
    components_->checker.reset();
    // Readers post tasks that use their adapters, so the control thread, which runs them, ends
    // before the adapters are destroyed.
    components_->control->stop();
    components_->platform_reader.reset();
    components_->store_reader.reset();
}

result<std::unique_ptr<running_node>> running_node::start(const settings& node_settings,
                                                          const platform_binding& binding,
                                                          process_signals& signals) {
    auto initial = std::make_unique<components>(node_settings, binding, signals);
    if (auto opened = initial->open_peers(); !opened) {
        return tl::unexpected<error>(opened.error());
    }
    if (auto read = initial->read_file(); !read) {
        return tl::unexpected<error>(read.error());
    }
    initial->make_loop();
    initial->apply_file_content(initial->file_content);
    initial->start_readers();
    initial->control->start();
    initial->checker = std::make_unique<reachability_checker>(initial->dispatcher,
                                                              initial->node_settings.connect_time);
    std::unique_ptr<running_node> node(new running_node(std::move(initial)));
    auto& it = *node->components_;
    if (auto started = it.start_change_server(); !started) {
        return tl::unexpected<error>(started.error());
    }
    if (auto started = it.start_traffic_server(); !started) {
        return tl::unexpected<error>(started.error());
    }
    auto admin = admin_server::start(node_settings.admin, *it.queries, *node);
    if (!admin) {
        return tl::unexpected<error>(admin.error());
    }
    it.admin = std::move(*admin);
    it.queries->set_started();
    it.write_log(log_level::info, log_line("Node started.")
                                      .with("traffic", to_string(node_settings.traffic))
                                      .with("admin", to_string(node_settings.admin))
                                      .with("domain", node_settings.domain.value));
    return node;
}

void running_node::confirm_file_version() {
    if (components_->file_content) {
        components_->control->post([this, version = components_->file_content->version] {
            components_->loop->confirm(version);
        });
    }
}

void running_node::close_unusable_connections() {
    components_->traffic_server->close_unusable_connections();
}

void running_node::reload() {
    auto& it = *components_;
    if (const auto read = it.read_file(); !read) {
        it.write_log(log_level::error,
                     log_line("Configuration file rejected; the version in force stays.")
                         .with("reason", to_string(read.error())));
        return;
    }
    it.control->post([&it, content = it.file_content] { it.apply_file_content(content); });
}

bool running_node::superseded() const {
    return components_->gossip && components_->loop->state()->superseded;
}

void running_node::begin_shutdown() {
    components_->signals.request_stop();
}

bool running_node::shut_down(process_signals& signals) {
    constexpr milliseconds step{100};
    auto& it = *components_;
    it.write_log(log_level::info,
                 log_line("Shutdown started; new connections are still accepted for a while.")
                     .with("take_ms", it.node_settings.take_for.count())
                     .with("accept_ms", it.node_settings.accept_for.count()));
    it.queries->set_draining();
    if (it.gossip) {
        it.control->post([&it] { it.gossip->announce_leaving(); });
    }
    // Both spans count from here, so that nothing that takes time between them delays the end.
    const auto accept_until = it.clock.now() + it.node_settings.accept_for;
    const auto finish_until = accept_until + it.node_settings.finish_within;
    it.traffic_server->begin_drain(finish_until - dispatch::planned_stop::final_answer_time);
    it.dispatcher.begin_stop(it.node_settings.take_for,
                             it.node_settings.accept_for + it.node_settings.finish_within);
    while (it.clock.now() < accept_until) {
        if (signals.wait_for_request(step) == process_request::force) {
            return false;
        }
    }
    it.traffic_server->stop_listening();
    while (!it.traffic_server->wait_idle(it.clock.now() + step)) {
        const bool late = it.clock.now() >= finish_until;
        if (late || signals.wait_for_request(milliseconds(0)) == process_request::force) {
            it.write_log(log_level::warning,
                         log_line("Aborting unfinished requests.")
                             .with("connections",
                                   static_cast<std::int64_t>(it.traffic_server->connections())));
            it.dispatcher.stop();
            return false;
        }
    }
    it.write_log(log_level::info, log_line("Shutdown finished; every request was completed."));
    return true;
}

} // namespace wigeonrill::daemon
