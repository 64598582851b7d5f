#ifndef WIGEONRILL_TEST_ONCE_FLEET_MODEL_H
#define WIGEONRILL_TEST_ONCE_FLEET_MODEL_H

#include "wigeonrill/dispatch.h"

namespace wigeonrill::test {

/// Enumerates all sequences of choices, depth first.
class choice_enumerator {
public:
    /// Starts the next sequence. Returns false after the last one.
    bool next() {
        depth_ = 0;
        if (!started_) {
            started_ = true;
            return true;
        }
        while (!path_.empty() && path_.back().first + 1 == path_.back().second) {
            path_.pop_back();
        }
        if (path_.empty()) {
            return false;
        }
        ++path_.back().first;
        return true;
    }
    /// Returns the next choice of the sequence, below the number of options.
    std::size_t choose(std::size_t options) {
        if (depth_ == path_.size()) {
            path_.emplace_back(0, options);
        }
        return path_[depth_++].first;
    }

private:
    std::vector<std::pair<std::size_t, std::size_t>> path_; ///< choice and number of options
    std::size_t depth_{0};
    bool started_{false};
};

/// Initial state of a fleet_model, and the events that may happen in it.
struct scenario {
    std::vector<std::vector<config::key_owner_set>> owners; ///< key_owners as each node knows them
    std::vector<wall_time> confirmed; ///< when the configuration was last confirmed, per node
    std::vector<std::string> keys;    ///< an empty text stands for a key issued by node 0
    int sends_per_key{2};             ///< how often a caller sends each key
    int max_faults{2};
    nanoseconds time_jump{0};        ///< time that may pass once at any point, 0: none
    bool planned_stops{false};       ///< whether a fault may also be a planned stop of a node
    nanoseconds replacement_skew{0}; ///< wall clock error of a node that replaces a crashed one
};

inline endpoint node_address(std::size_t n) {
    return {"10.1.0." + std::to_string(n + 1), 80};
}

/// Nodes with their real decision core. The behavior of the network, callers and targets is chosen.
class fleet_model {
public:
    explicit fleet_model(const scenario& plan);

    /// Performs one of the possible actions. Returns false when there is none.
    bool perform_next(choice_enumerator& choices);

    bool violated{false};     ///< a key ran twice, or "not-run" was answered for one that ran
    std::vector<int> runs;    ///< number of runs by key
    std::vector<int> replays; ///< number of stored answers sent by key

private:
    /// State of a request; closed: ended at its node, crashed: lost with its node.
    enum class phase : std::uint8_t { waiting, decided, written, forwarded, closed, crashed };
    enum class action_kind : std::uint8_t {
        send,
        write,
        shed,
        refuse_connection,
        pause_process,
        answer,
        lose_connection,
        deliver_forward,
        cut_before_delivery,
        deliver_reply,
        cut_after_delivery,
        detect_owner_crash,
        crash,
        stop,
        pass_time
    };
    struct model_request {
        std::size_t node{0};
        std::size_t key{0};
        traffic::request_info info;
        phase state{phase::waiting};
        traffic::step step;
        std::size_t forwarded_request{0}; ///< index of the request at the owner, in phase forwarded
    };
    struct action {
        action_kind kind{action_kind::send};
        std::size_t index{0}; ///< index of the request or node
        std::size_t key{0};
    };
    struct node {
        std::shared_ptr<config::snapshot> configuration;
        std::unique_ptr<seeded_random_source> random;
        std::unique_ptr<dispatch::decision_core> core;
        std::uint64_t incarnation{1};
        nanoseconds skew{0};
    };

    [[nodiscard]] dispatch::clock_reading time_of(std::size_t n) const {
        return {now_.now, now_.wall + nodes_[n].skew};
    }
    [[nodiscard]] std::vector<action> enabled_actions() const;
    void add_request_actions(std::size_t index, std::vector<action>& all) const;
    void start_node(std::size_t n, dispatch::clock_reading started);
    void perform(const action& it);
    void perform_on(model_request& it, action_kind kind);
    std::size_t start_request(std::size_t n, std::size_t key, bool from_node);
    void write_request(model_request& it, bool shed);
    void end_attempt(model_request& it, health::answer_kind kind, bool sent);
    void close_request(model_request& it, bool answered);
    void crash_node(std::size_t n);
    void poll_requests();
    void apply_step(model_request& it, traffic::step step);

    scenario plan_;
    dispatch::clock_reading now_;
    std::vector<node> nodes_;
    std::vector<model_request> requests_;
    std::vector<int> sends_left_;
    int faults_left_;
    bool time_can_pass_;
    std::uint64_t last_id_{0};
};

inline fleet_model::fleet_model(const scenario& plan)
    : runs(plan.keys.size()), replays(plan.keys.size()), plan_(plan),
      sends_left_(plan.keys.size(), plan.sends_per_key), faults_left_(plan.max_faults),
      time_can_pass_(plan.time_jump != nanoseconds(0)) {
    now_ = {instant{} + std::chrono::hours(1), wall_time{} + std::chrono::hours(500'000)};
    for (std::size_t i = 0; i < plan.owners.size(); ++i) {
        auto configuration = std::make_shared<config::snapshot>();
        configuration->services.resize(1);
        configuration->services[0].targets.resize(2);
        configuration->services[0].targets[0].id = target_id("t0");
        configuration->services[0].targets[1].id = target_id("t1");
        configuration->routes.resize(1);
        configuration->routes[0].repeat = config::repeat_policy::at_most_once;
        configuration->key_owners = plan.owners[i];
        nodes_.push_back({std::move(configuration), nullptr, nullptr, 1, nanoseconds(0)});
        const std::chrono::minutes uptime(20);
        start_node(i, {now_.now - uptime, now_.wall - uptime});
    }
    for (auto& it : plan_.keys) {
        it = it.empty() ? nodes_[0].core->issue_key(now_.now) : it;
    }
}

inline void fleet_model::start_node(std::size_t n, dispatch::clock_reading started) {
    auto& it = nodes_[n];
    it.random = std::make_unique<seeded_random_source>(n);
    it.core = std::make_unique<dispatch::decision_core>(
        node_address(n), it.incarnation++, started,
        dispatch::core_options{
            .make_policy = [] { return std::make_unique<routing::round_robin>(); }},
        *it.random);
    it.core->set_config_confirmed_at(plan_.confirmed[n]);
    auto view = std::make_shared<routing::view>();
    view->configuration = it.configuration;
    const auto& service = it.configuration->services[0];
    view->services = {{&service, {{&service.targets[0], 1.0, 0}, {&service.targets[1], 1.0, 1}}}};
    it.core->set_view(view, std::make_shared<routing::route_table>(it.configuration), now_.now);
}

inline std::vector<fleet_model::action> fleet_model::enabled_actions() const {
    std::vector<action> all;
    for (std::size_t key = 0; key < sends_left_.size(); ++key) {
        for (std::size_t n = 0; sends_left_[key] > 0 && n < nodes_.size(); ++n) {
            all.push_back({action_kind::send, n, key});
        }
    }
    for (std::size_t i = 0; i < requests_.size(); ++i) {
        add_request_actions(i, all);
    }
    for (std::size_t n = 0; faults_left_ > 0 && !requests_.empty() && n < nodes_.size(); ++n) {
        all.push_back({action_kind::crash, n, 0});
        if (plan_.planned_stops) {
            all.push_back({action_kind::stop, n, 0});
        }
    }
    if (time_can_pass_) {
        all.push_back({action_kind::pass_time, 0, 0});
    }
    return all;
}

inline void fleet_model::add_request_actions(std::size_t index, std::vector<action>& all) const {
    const auto& it = requests_[index];
    const auto add = [&](action_kind kind) { all.push_back({kind, index, it.key}); };
    const bool fault = faults_left_ > 0;
    if (it.state == phase::decided && it.step.kind == traffic::step_kind::send) {
        add(action_kind::write);
        if (fault) {
            add(action_kind::shed);
            add(action_kind::refuse_connection);
            add(action_kind::pause_process);
        }
    } else if (it.state == phase::decided) {
        add(action_kind::deliver_forward);
        if (fault) {
            add(action_kind::cut_before_delivery);
        }
    } else if (it.state == phase::written) {
        add(action_kind::answer);
        if (fault) {
            add(action_kind::lose_connection);
        }
    } else if (it.state == phase::forwarded) {
        const auto owner_state = requests_[it.forwarded_request].state;
        if (owner_state == phase::closed) {
            add(action_kind::deliver_reply);
        } else if (owner_state == phase::crashed) {
            add(action_kind::detect_owner_crash);
        }
        if (fault && owner_state != phase::crashed) {
            add(action_kind::cut_after_delivery);
        }
    }
}

inline bool fleet_model::perform_next(choice_enumerator& choices) {
    const auto all = enabled_actions();
    if (all.empty()) {
        return false;
    }
    perform(all[choices.choose(all.size())]);
    poll_requests();
    return true;
}

inline void fleet_model::perform(const action& it) {
    switch (it.kind) {
    case action_kind::send:
        --sends_left_[it.key];
        start_request(it.index, it.key, false);
        return;
    case action_kind::crash:
        crash_node(it.index);
        return;
    case action_kind::stop:
        --faults_left_;
        nodes_[it.index].core->stop(now_.now);
        return;
    case action_kind::pass_time:
        time_can_pass_ = false;
        now_ = {now_.now + plan_.time_jump, now_.wall + plan_.time_jump};
        return;
    default:
        perform_on(requests_[it.index], it.kind);
    }
}

inline void fleet_model::perform_on(model_request& it, action_kind kind) {
    using health::answer_kind;
    const bool is_no_fault = kind == action_kind::write || kind == action_kind::answer ||
                             kind == action_kind::deliver_forward ||
                             kind == action_kind::deliver_reply ||
                             kind == action_kind::detect_owner_crash;
    faults_left_ -= is_no_fault ? 0 : 1;
    switch (kind) {
    case action_kind::pause_process:
        now_ = {now_.now + seconds(31), now_.wall + seconds(31)};
        write_request(it, false);
        return;
    case action_kind::write:
    case action_kind::shed:
        write_request(it, kind == action_kind::shed);
        return;
    case action_kind::refuse_connection:
    case action_kind::cut_before_delivery:
        end_attempt(it, answer_kind::connect_failed, false);
        return;
    case action_kind::answer:
    case action_kind::deliver_reply:
        end_attempt(it, answer_kind::ok, true);
        return;
    case action_kind::deliver_forward: {
        std::size_t owner = 0;
        while (node_address(owner) != it.step.address) {
            ++owner;
        }
        it.state = phase::forwarded;
        const auto index = static_cast<std::size_t>(&it - requests_.data());
        const auto forwarded_request = start_request(owner, it.key, true); // invalidates it
        requests_[index].forwarded_request = forwarded_request;
        return;
    }
    default:
        end_attempt(it, answer_kind::connection_lost, true);
    }
}

inline std::size_t fleet_model::start_request(std::size_t n, std::size_t key, bool from_node) {
    model_request it;
    it.node = n;
    it.key = key;
    it.info.id = ++last_id_;
    it.info.method = "POST";
    it.info.path = "/";
    it.info.workspace = "w";
    it.info.idempotency_key = plan_.keys[key];
    it.info.body_replayable = true;
    it.info.sender = from_node ? traffic::request_sender::node : traffic::request_sender::caller;
    it.info.arrived = now_.now;
    it.info.deadline = now_.now + seconds(30);
    nodes_[n].core->begin_request(it.info, time_of(n));
    requests_.push_back(std::move(it));
    return requests_.size() - 1;
}

inline void fleet_model::write_request(model_request& it, bool shed) {
    if (!nodes_[it.node].core->may_send(it.info.id, time_of(it.node))) {
        end_attempt(it, health::answer_kind::cancelled, false);
    } else if (shed) {
        end_attempt(it, health::answer_kind::shed, true);
    } else {
        violated = violated || ++runs[it.key] > 1;
        it.state = phase::written;
    }
}

inline void fleet_model::end_attempt(model_request& it, health::answer_kind kind, bool sent) {
    traffic::attempt_result attempt;
    attempt.kind = kind;
    attempt.request_bytes_sent = sent;
    attempt.sent = attempt.ended = now_.now;
    if (nodes_[it.node].core->on_attempt_ended(it.info.id, attempt, time_of(it.node))) {
        it.state = phase::waiting;
    } else {
        close_request(it, it.state == phase::written);
    }
}

inline void fleet_model::close_request(model_request& it, bool answered) {
    auto answer = answered ? std::make_shared<const traffic::stored_answer>() : nullptr;
    it.state = phase::closed;
    nodes_[it.node].core->finish_request(it.info.id, true, std::move(answer), time_of(it.node));
}

inline void fleet_model::crash_node(std::size_t n) {
    --faults_left_;
    for (auto& it : requests_) {
        if (it.node == n && it.state != phase::closed) {
            it.state = phase::crashed;
        }
    }
    now_ = {now_.now + seconds(1), now_.wall + seconds(1)};
    nodes_[n].skew = plan_.replacement_skew;
    start_node(n, time_of(n));
}

inline void fleet_model::poll_requests() {
    for (auto& it : nodes_) {
        it.core->tick(now_.now);
        static_cast<void>(it.core->take_events());
        static_cast<void>(it.core->take_ready());
    }
    for (auto& it : requests_) {
        if (it.state == phase::waiting) {
            if (auto step = nodes_[it.node].core->poll(it.info.id, time_of(it.node))) {
                apply_step(it, std::move(*step));
            }
        }
    }
}

inline void fleet_model::apply_step(model_request& it, traffic::step step) {
    it.state = phase::decided;
    it.step = std::move(step);
    if (it.step.kind == traffic::step_kind::refuse) {
        const bool reported_not_run = it.step.reason.result == traffic::outcome::not_run;
        violated = violated || (reported_not_run && runs[it.key] > 0);
        close_request(it, false);
    } else if (it.step.kind == traffic::step_kind::replay) {
        violated = violated || runs[it.key] == 0;
        ++replays[it.key];
        close_request(it, false);
    }
}

} // namespace wigeonrill::test

#endif
