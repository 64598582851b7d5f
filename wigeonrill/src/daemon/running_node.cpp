#include "wigeonrill/daemon.h"

#include "wigeonrill/src/daemon/running_node.h"

#include <random>

namespace wigeonrill::daemon {

namespace {

constexpr std::uint64_t largest_document = 256ULL * 1024 * 1024;

using observe::log_level;
using observe::log_line;
using observe::log_part;

std::uint64_t random_bits() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

peers::incarnation new_incarnation(const clock_source& clock, random_source& random) {
    const auto started = std::chrono::floor<milliseconds>(clock.wall_now().time_since_epoch());
    return {static_cast<std::uint64_t>(started.count()),
            static_cast<std::uint32_t>(random.below(std::uint64_t{1} << 31U))};
}

// One number for the process: start time in the upper bits, random bits below.
std::uint64_t incarnation_number(const peers::incarnation& process) {
    constexpr unsigned random_width = 16;
    return (process.started_ms << random_width) |
           (process.nonce & ((std::uint32_t{1} << random_width) - 1));
}

traffic::server_options server_options_of(const settings& wanted) {
    traffic::server_options options;
    options.listen = wanted.traffic;
    options.via = "wigeonrill";
    options.max_connections = wanted.max_connections;
    options.max_head_bytes = wanted.max_head_bytes;
    options.max_body_bytes = wanted.max_body_bytes;
    options.head_time = wanted.head_time;
    options.body_idle = wanted.body_idle;
    options.idle = wanted.idle;
    options.connect_time = wanted.connect_time;
    return options;
}

dispatch::core_options core_options_of(const settings& wanted) {
    dispatch::core_options options;
    options.shed_may_wait = wanted.shed_may_wait;
    options.own_domain = wanted.domain;
    options.tell_counts = wanted.count_budget > 0;
    if (wanted.placement == placement_kind::least_cost) {
        options.make_policy = [] { return std::make_unique<routing::least_cost>(); };
    }
    options.retries = {wanted.retry_share, wanted.retries_per_second, wanted.retry_reserve};
    return options;
}

result<config::change_set> read_configuration(const std::string& path,
                                              const config::change_set* previous) {
    const auto text = config::read_file(path, largest_document);
    if (!text) {
        return tl::unexpected<error>(text.error());
    }
    return config::split_document(*text, path, previous);
}

// A file is offered only if the tool's check would accept it, with its line or key path.
result<config::change_set> load_configuration(const std::string& path,
                                              const config::change_set* previous) {
    const auto checked = config::load_file(path);
    if (!checked) {
        return tl::unexpected<error>(checked.error());
    }
    return read_configuration(path, previous);
}

} // namespace

struct running_node::parts {
    parts(const settings& given, platform_binding bound, stop_signal& stop)
        : wanted(given), binding(std::move(bound)), signals(stop),
          log(observe::make_stdout_sink(given.log_level)), dispatch_random(random_bits()),
          peer_random(random_bits()), platform_random(random_bits()),
          process(new_incarnation(clock, peer_random)), events(*log),
          dispatcher({given.traffic, incarnation_number(process), core_options_of(given)}, clock,
                     dispatch_random, events) {}

    settings wanted;
    platform_binding binding;
    stop_signal& signals;
    system_clock_source clock;
    std::unique_ptr<observe::log_sink> log;
    observe::metric_registry metrics;
    seeded_random_source dispatch_random; ///< used under the dispatcher's lock only
    seeded_random_source peer_random;     ///< used by the control thread only
    seeded_random_source platform_random; ///< used by the platform's reader only
    peers::incarnation process;
    traffic_events events;
    dispatch::request_dispatcher dispatcher;

    std::unique_ptr<peers::udp_transport> network;
    std::unique_ptr<peers::gossip_node> gossip;
    std::unique_ptr<peers::peer_link> link;
    std::unique_ptr<control_loop> loop;
    std::unique_ptr<node_pages> pages;
    std::unique_ptr<control_thread> control;
    std::unique_ptr<platform_link> platform;
    std::unique_ptr<feed_link> feed;
    std::unique_ptr<peers::change_server> changes;
    std::unique_ptr<traffic::server> callers;
    std::unique_ptr<admin_server> admin;
    /// Last content of the configuration file. The main thread replaces it; tasks of the control
    /// thread hold the content that they were made with.
    std::shared_ptr<const config::change_set> published;

    result<void> open_peers();
    result<void> read_file();
    void make_loop();
    void start_platform();
    result<void> start_changes();
    result<void> start_servers();
    void write(log_level level, const log_line& line) { log->write(level, log_part::daemon, line); }
    bool is_peer(const std::string& ip) const;
    void offer(const std::shared_ptr<const config::change_set>& content);
};

result<void> running_node::parts::open_peers() {
    if (!wanted.peer) {
        return {};
    }
    auto opened = peers::udp_transport::open(*wanted.peer);
    if (!opened) {
        return tl::unexpected<error>(opened.error());
    }
    network = std::move(*opened);
    events.on_urgent([this] { network->wake(); });
    peers::gossip_settings gossip_settings;
    gossip_settings.address = *wanted.peer;
    gossip_settings.domain = wanted.domain;
    gossip_settings.process = process;
    gossip_settings.seeds = wanted.seeds;
    // The store lists targets only, and the platform gives each address to one process.
    gossip_settings.count_bytes_per_second = static_cast<double>(wanted.count_budget);
    gossip_settings.admits_unlisted = wanted.store.has_value();
    gossip_settings.owns_address = wanted.store.has_value();
    gossip = std::make_unique<peers::gossip_node>(gossip_settings, clock, peer_random);
    link = std::make_unique<peers::peer_link>(*gossip, *network, clock, wanted.secret);
    return {};
}

void running_node::parts::make_loop() {
    const auto self = node_id(to_string(wanted.peer.value_or(wanted.traffic)));
    loop = std::make_unique<control_loop>(
        control_parts{clock, *log, metrics, events, dispatcher, gossip.get()}, self, wanted.domain);
    control = std::make_unique<control_thread>(*loop, link.get(), gossip.get(), clock);
    pages = std::make_unique<node_pages>(node_identity{to_string(wanted.traffic), wanted.domain,
                                                       incarnation_number(process), clock.now()},
                                         *loop, *control, dispatcher, metrics, clock);
}

result<void> running_node::parts::read_file() {
    if (wanted.configuration_file.empty()) {
        return {};
    }
    auto changes = load_configuration(wanted.configuration_file, published.get());
    if (!changes) {
        return tl::unexpected<error>(changes.error());
    }
    published = std::make_shared<const config::change_set>(std::move(*changes));
    return {};
}

void running_node::parts::offer(const std::shared_ptr<const config::change_set>& content) {
    if (content) {
        loop->offer(*content, wanted.configuration_file);
        loop->confirm(content->version);
    }
}

void running_node::parts::start_platform() {
    if (!wanted.platform.empty()) {
        platform =
            std::make_unique<platform_link>(wanted, *control, *loop, clock, platform_random, *log);
        // A version that came from a peer must not be read from the platform again.
        loop->on_adopted([this] { platform->set_held(); });
    }
    if (wanted.store) {
        feed = std::make_unique<feed_link>(wanted, binding.open_store(*wanted.store, clock),
                                           *control, *loop, clock, platform_random, *log);
    }
}

result<void> running_node::parts::start_changes() {
    if (!wanted.peer) {
        return {};
    }
    peers::change_source source;
    source.changes = [this](std::uint64_t since) {
        return control->ask([since](control_loop& it) { return it.changes_since(since); });
    };
    source.status = [this] { return pages->status_json(); };
    auto started = peers::change_server::start(*wanted.peer, std::move(source));
    if (!started) {
        return tl::unexpected<error>(started.error());
    }
    changes = std::move(*started);
    return {};
}

bool running_node::parts::is_peer(const std::string& ip) const {
    const auto ips = loop->state()->peer_ips;
    return ips && ips->contains(ip);
}

result<void> running_node::parts::start_servers() {
    auto options = server_options_of(wanted);
    if (wanted.store) {
        options.names = binding.headers;
    }
    options.is_peer = [this](const std::string& ip) { return is_peer(ip); };
    options.log = [this](const std::string& line) {
        log->write(log_level::info, log_part::traffic,
                   log_line(observe::without_prefix(line, log_part::traffic)));
    };
    callers = std::make_unique<traffic::server>(std::move(options), dispatcher, clock);
    if (auto started = callers->start(); !started) {
        return started;
    }
    return {};
}

running_node::running_node(std::unique_ptr<parts> initial) : parts_(std::move(initial)) {}

running_node::~running_node() {
    // Threads end before the objects that they use: callers, then peers, then control.
    parts_->admin.reset();
    parts_->callers.reset();
    parts_->changes.reset();
    // The reader hands tasks to the control thread, which must not run them once the link is gone.
    parts_->control->stop();
    parts_->platform.reset();
    parts_->feed.reset();
}

result<std::unique_ptr<running_node>>
running_node::start(const settings& wanted, const platform_binding& binding, stop_signal& signals) {
    auto initial = std::make_unique<parts>(wanted, binding, signals);
    if (auto opened = initial->open_peers(); !opened) {
        return tl::unexpected<error>(opened.error());
    }
    if (auto read = initial->read_file(); !read) {
        return tl::unexpected<error>(read.error());
    }
    initial->make_loop();
    initial->offer(initial->published);
    initial->start_platform();
    initial->control->start();
    std::unique_ptr<running_node> node(new running_node(std::move(initial)));
    auto& it = *node->parts_;
    if (auto started = it.start_changes(); !started) {
        return tl::unexpected<error>(started.error());
    }
    if (auto started = it.start_servers(); !started) {
        return tl::unexpected<error>(started.error());
    }
    auto admin = admin_server::start(wanted.admin, *it.pages, *node);
    if (!admin) {
        return tl::unexpected<error>(admin.error());
    }
    it.admin = std::move(*admin);
    it.pages->set_started();
    it.write(log_level::info, log_line("Node started.")
                                  .with("traffic", to_string(wanted.traffic))
                                  .with("admin", to_string(wanted.admin))
                                  .with("domain", wanted.domain.value));
    return node;
}

void running_node::confirm_file() {
    if (parts_->published) {
        parts_->control->post(
            [this, version = parts_->published->version] { parts_->loop->confirm(version); });
    }
}

void running_node::reload() {
    auto& it = *parts_;
    if (const auto read = it.read_file(); !read) {
        it.write(log_level::error,
                 log_line("Configuration file refused; the version in force stays.")
                     .with("reason", to_string(read.error())));
        return;
    }
    it.control->post([&it, content = it.published] { it.offer(content); });
}

bool running_node::superseded() const {
    return parts_->gossip && parts_->loop->state()->superseded;
}

void running_node::begin_shutdown() {
    parts_->signals.request_stop();
}

bool running_node::shut_down(stop_signal& signals) {
    constexpr milliseconds step{100};
    auto& it = *parts_;
    it.write(log_level::info, log_line("Shutdown began; accepting goes on for a while.")
                                  .with("accept_ms", it.wanted.accept_for.count()));
    it.pages->set_draining();
    if (it.gossip) {
        it.control->post([&it] { it.gossip->announce_leaving(); });
    }
    it.callers->begin_drain();
    const auto accept_until = it.clock.now() + it.wanted.accept_for;
    while (it.clock.now() < accept_until) {
        if (signals.next(step) == process_request::force) {
            return false;
        }
    }
    it.callers->stop_listening();
    const auto finish_until = it.clock.now() + it.wanted.finish_within;
    while (!it.callers->wait_idle(it.clock.now() + step)) {
        const bool late = it.clock.now() >= finish_until;
        if (late || signals.next(milliseconds(0)) == process_request::force) {
            it.write(log_level::warning, log_line("Requests are cut.")
                                             .with("connections", static_cast<std::int64_t>(
                                                                      it.callers->connections())));
            it.dispatcher.stop();
            return false;
        }
    }
    it.write(log_level::info, log_line("Every request finished."));
    return true;
}

} // namespace wigeonrill::daemon
