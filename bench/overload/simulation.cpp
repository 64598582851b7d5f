#include "simulation.h"

#include <algorithm>
#include <cmath>

namespace wigeonrill::bench {

namespace {

constexpr std::size_t node_count = 36;
constexpr std::size_t target_count = 10;
constexpr double mean_service_s = 0.1;
constexpr double sick_slowdown = 10.0;
constexpr double simulated_seconds = 60.0;
constexpr seconds deadline{2};
constexpr microseconds network_delay{250};
constexpr std::size_t baseline_max_attempts = 3;

instant at_second(double when) {
    return instant{} +
           std::chrono::duration_cast<instant::duration>(std::chrono::duration<double>(1.0 + when));
}

/// Proxy under test: the decisions of one node on its requests.
class proxy {
public:
    struct choice {
        enum class kind : std::uint8_t { send, wait, refuse };
        kind action{kind::refuse};
        std::size_t target{0};
    };
    proxy() = default;
    proxy(const proxy&) = delete;
    proxy& operator=(const proxy&) = delete;
    virtual ~proxy() = default;
    virtual void begin_request(std::uint64_t id, instant now) = 0;
    /// \returns the next step of a request: send it to a target, wait or refuse it
    virtual choice poll(std::uint64_t id, instant now) = 0;
    /// \returns true when poll() gives the request another step, false when the answer ends it
    virtual bool on_attempt_ended(std::uint64_t id, health::answer_kind kind, std::int32_t load,
                                  instant now) = 0;
    virtual void finish_request(std::uint64_t id, instant now) = 0;
    /// \returns waiting requests that got a next step since the last call
    virtual std::vector<std::uint64_t> take_ready_requests() { return {}; }
    /// \returns when a waiting request must be polled at the latest
    virtual instant wake_at(std::uint64_t /*id*/, instant now) { return now; }
};

/// The product's dispatch::decision_core.
class product_proxy final : public proxy {
public:
    product_proxy(routing::view_ptr view, std::shared_ptr<const routing::route_table> table,
                  dispatch::core_options::policy_factory policy, std::uint64_t seed)
        : random_(seed), core_({"10.1.0.1", 80}, 1, {at_second(0.0), {}},
                               {.make_policy = std::move(policy)}, random_) {
        core_.set_view(std::move(view), std::move(table), at_second(0.0));
    }
    void begin_request(std::uint64_t id, instant now) override {
        traffic::request_info info;
        info.id = id;
        info.method = "GET";
        info.path = "/";
        info.query = std::to_string(id);
        info.body_replayable = true;
        info.arrived = now;
        info.deadline = now + deadline;
        core_.begin_request(info, {now, {}});
    }
    choice poll(std::uint64_t id, instant now) override {
        const auto step = core_.poll(id, {now, {}});
        static_cast<void>(core_.take_events());
        if (!step) {
            return {choice::kind::wait, 0};
        }
        if (step->kind != traffic::step_kind::send || !core_.may_send(id, {now, {}})) {
            return {choice::kind::refuse, 0};
        }
        return {choice::kind::send, step->address.port - std::size_t{1}};
    }
    bool on_attempt_ended(std::uint64_t id, health::answer_kind kind, std::int32_t load,
                          instant now) override {
        traffic::attempt_result attempt;
        attempt.kind = kind;
        attempt.request_bytes_sent = true;
        attempt.reported_load = load;
        attempt.ended = now;
        return core_.on_attempt_ended(id, attempt, {now, {}});
    }
    void finish_request(std::uint64_t id, instant now) override {
        core_.finish_request(id, true, nullptr, {now, {}});
        static_cast<void>(core_.take_events());
    }
    std::vector<std::uint64_t> take_ready_requests() override { return core_.take_ready(); }
    instant wake_at(std::uint64_t id, instant now) override { return core_.wake_at(id, now); }

private:
    seeded_random_source random_;
    dispatch::decision_core core_;
};

/// Proxy without queue, limits or budgets: sends at once and retries on a shed answer.
class baseline_proxy final : public proxy {
public:
    baseline_proxy(std::unique_ptr<routing::placement_policy> policy, std::uint64_t seed)
        : policy_(std::move(policy)), random_(seed), candidates_(target_count) {}
    void begin_request(std::uint64_t id, instant /*now*/) override { requests_[id] = {}; }
    choice poll(std::uint64_t id, instant /*now*/) override {
        auto& it = requests_[id];
        if (it.failed || it.attempts == baseline_max_attempts) {
            return {choice::kind::refuse, 0};
        }
        ++it.attempts;
        it.target = policy_->choose(candidates_, random_);
        ++candidates_[it.target].outstanding;
        return {choice::kind::send, it.target};
    }
    bool on_attempt_ended(std::uint64_t id, health::answer_kind kind, std::int32_t /*load*/,
                          instant /*now*/) override {
        auto& it = requests_[id];
        --candidates_[it.target].outstanding;
        it.failed = kind == health::answer_kind::silent;
        return kind != health::answer_kind::ok;
    }
    void finish_request(std::uint64_t id, instant /*now*/) override { requests_.erase(id); }

private:
    struct request {
        std::size_t attempts{0};
        std::size_t target{0};
        bool failed{false};
    };
    std::unique_ptr<routing::placement_policy> policy_;
    seeded_random_source random_;
    std::vector<routing::placement_candidate> candidates_;
    std::unordered_map<std::uint64_t, request> requests_;
};

enum class event_kind : std::uint8_t {
    request_arrives,
    request_reaches_target,
    request_leaves_target,
    answer_reaches_node,
    wake_up
};

struct event {
    instant when{};
    std::uint64_t sequence{0};
    event_kind kind{event_kind::request_arrives};
    std::uint64_t request{0};
    std::size_t target{0};
    health::answer_kind answer{health::answer_kind::ok};
    std::int32_t load{0};

    friend bool operator>(const event& a, const event& b) {
        return std::pair(a.when, a.sequence) > std::pair(b.when, b.sequence);
    }
};

class simulation {
public:
    explicit simulation(const scenario& scenario);
    outcome_counts run();

private:
    struct request_state {
        std::size_t node{0};
        instant arrived{};
        bool waiting{false};
    };
    void push(event it, instant when) {
        it.when = when;
        it.sequence = ++last_sequence_;
        events_.push(it);
    }
    double exponential(double mean) { return -mean * std::log1p(-random_.uniform()); }
    void add_arrivals(double per_second);
    void handle(const event& it);
    void advance(std::uint64_t id, instant now);
    void advance_ready_requests(std::size_t node, instant now);
    void handle_request_at_target(const event& it);
    void handle_answer_at_node(const event& it);
    void finish(std::uint64_t id, instant now);

    scenario scenario_;
    seeded_random_source random_;
    std::shared_ptr<config::snapshot> snapshot_{std::make_shared<config::snapshot>()};
    std::vector<std::unique_ptr<proxy>> nodes_;
    std::vector<std::uint32_t> busy_slots_{std::vector<std::uint32_t>(target_count)};
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t last_sequence_{0};
    std::unordered_map<std::uint64_t, request_state> requests_;
    std::vector<double> latencies_;
    double refusal_ms_sum_{0.0};
    outcome_counts counts_;
};

std::unique_ptr<routing::placement_policy> make_policy(proxy_kind kind) {
    switch (kind) {
    case proxy_kind::product:
        return std::make_unique<routing::two_random_choices>();
    case proxy_kind::product_round_robin:
    case proxy_kind::round_robin:
        return std::make_unique<routing::round_robin>();
    default:
        return std::make_unique<routing::least_outstanding>();
    }
}

bool is_baseline(proxy_kind kind) {
    return kind == proxy_kind::round_robin || kind == proxy_kind::least_outstanding;
}

simulation::simulation(const scenario& scenario) : scenario_(scenario), random_(scenario.seed) {
    snapshot_->services.resize(1);
    auto& service = snapshot_->services.front();
    for (std::size_t i = 0; i < target_count; ++i) {
        config::target target;
        target.id = target_id(std::to_string(i));
        target.address = {"10.0.0.1", static_cast<std::uint16_t>(i + 1)};
        target.slots = scenario.slots;
        service.targets.push_back(target);
    }
    snapshot_->routes.resize(1);
    auto view = std::make_shared<routing::view>();
    view->configuration = snapshot_;
    view->services.push_back({&service, {}});
    for (std::uint32_t i = 0; i < target_count; ++i) {
        view->services.front().eligible.push_back({&service.targets[i], 1.0, i});
    }
    const auto table = std::make_shared<const routing::route_table>(snapshot_);
    for (std::size_t i = 0; i < node_count; ++i) {
        const auto seed = scenario.seed * 1'000 + i;
        if (is_baseline(scenario.proxy)) {
            nodes_.push_back(std::make_unique<baseline_proxy>(make_policy(scenario.proxy), seed));
        } else {
            nodes_.push_back(std::make_unique<product_proxy>(
                view, table, [kind = scenario.proxy] { return make_policy(kind); }, seed));
        }
    }
}

outcome_counts simulation::run() {
    const double capacity = static_cast<double>(target_count * scenario_.slots) / mean_service_s;
    add_arrivals(scenario_.load * capacity);
    while (!events_.empty()) {
        const auto it = events_.top();
        events_.pop();
        handle(it);
    }
    std::sort(latencies_.begin(), latencies_.end());
    counts_.good = latencies_.size();
    counts_.good_per_capacity = static_cast<double>(counts_.good) / simulated_seconds / capacity;
    counts_.p99_ms = latencies_.empty() ? 0.0 : latencies_[latencies_.size() * 99 / 100];
    counts_.mean_refusal_ms =
        counts_.refused == 0 ? 0.0 : refusal_ms_sum_ / static_cast<double>(counts_.refused);
    return counts_;
}

void simulation::add_arrivals(double per_second) {
    for (double when = exponential(1.0 / per_second); when < simulated_seconds;
         when += exponential(1.0 / per_second)) {
        const auto id = ++counts_.arrivals;
        requests_[id] = {random_.next_below(node_count), at_second(when), false};
        push({{}, 0, event_kind::request_arrives, id, 0, {}, 0}, at_second(when));
    }
}

void simulation::handle(const event& it) {
    switch (it.kind) {
    case event_kind::request_arrives:
        nodes_[requests_[it.request].node]->begin_request(it.request, it.when);
        advance(it.request, it.when);
        break;
    case event_kind::request_reaches_target:
        handle_request_at_target(it);
        break;
    case event_kind::request_leaves_target:
        --busy_slots_[it.target];
        push({{},
              0,
              event_kind::answer_reaches_node,
              it.request,
              it.target,
              it.answer,
              static_cast<std::int32_t>(busy_slots_[it.target])},
             it.when + network_delay);
        break;
    case event_kind::answer_reaches_node:
        handle_answer_at_node(it);
        break;
    case event_kind::wake_up:
        if (const auto found = requests_.find(it.request);
            found != requests_.end() && found->second.waiting) {
            advance(it.request, it.when);
        }
        break;
    }
}

void simulation::advance(std::uint64_t id, instant now) {
    auto& request = requests_[id];
    auto& node = *nodes_[request.node];
    const auto node_index = request.node;
    const auto choice = node.poll(id, now);
    request.waiting = choice.action == proxy::choice::kind::wait;
    if (request.waiting) {
        push({{}, 0, event_kind::wake_up, id, 0, {}, 0}, node.wake_at(id, now));
    } else if (choice.action == proxy::choice::kind::send) {
        push({{}, 0, event_kind::request_reaches_target, id, choice.target, {}, 0},
             now + network_delay);
    } else {
        if (now < request.arrived + deadline) {
            refusal_ms_sum_ +=
                std::chrono::duration<double, std::milli>(now - request.arrived).count();
        }
        ++counts_.refused;
        finish(id, now);
    }
    advance_ready_requests(node_index, now);
}

void simulation::advance_ready_requests(std::size_t node, instant now) {
    for (const auto id : nodes_[node]->take_ready_requests()) {
        const auto found = requests_.find(id);
        if (found != requests_.end() && found->second.waiting) {
            advance(id, now);
        }
    }
}

void simulation::handle_request_at_target(const event& it) {
    if (busy_slots_[it.target] >= scenario_.slots) {
        ++counts_.sheds;
        push({{},
              0,
              event_kind::answer_reaches_node,
              it.request,
              it.target,
              health::answer_kind::shed,
              static_cast<std::int32_t>(busy_slots_[it.target])},
             it.when + network_delay);
        return;
    }
    ++busy_slots_[it.target];
    const double mean = it.target == 0 ? mean_service_s * sick_slowdown : mean_service_s;
    const auto service = std::chrono::duration_cast<instant::duration>(
        std::chrono::duration<double>(exponential(mean)));
    const auto end = requests_[it.request].arrived + deadline;
    const bool in_time = it.when + service + network_delay < end;
    push({{},
          0,
          event_kind::request_leaves_target,
          it.request,
          it.target,
          in_time ? health::answer_kind::ok : health::answer_kind::silent,
          0},
         in_time ? it.when + service : std::max(end, it.when));
}

void simulation::handle_answer_at_node(const event& it) {
    const auto& request = requests_[it.request];
    const auto node_index = request.node;
    auto& node = *nodes_[node_index];
    const auto arrived = request.arrived;
    if (node.on_attempt_ended(it.request, it.answer, it.load, it.when)) {
        if (it.answer == health::answer_kind::silent) {
            ++counts_.late;
            --counts_.refused; // Counted as late only; advance() counts it as refused, too.
        }
        advance(it.request, it.when);
        return;
    }
    latencies_.push_back(std::chrono::duration<double, std::milli>(it.when - arrived).count());
    finish(it.request, it.when);
    advance_ready_requests(node_index, it.when);
}

void simulation::finish(std::uint64_t id, instant now) {
    nodes_[requests_[id].node]->finish_request(id, now);
    requests_.erase(id);
}

} // namespace

outcome_counts simulate(const scenario& scenario) {
    return simulation(scenario).run();
}

} // namespace wigeonrill::bench
