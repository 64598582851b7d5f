#ifndef WIGEONRILL_TEST_ONCE_WORLD_H
#define WIGEONRILL_TEST_ONCE_WORLD_H

#include "wigeonrill/dispatch.h"

namespace wigeonrill::test {

/// Walks through all sequences of choices, depth first.
class chooser {
public:
    /// Starts the next sequence; false after the last one.
    bool next() {
        at_ = 0;
        if (!started_) {
            started_ = true;
            return true;
        }
        while (!trail_.empty() && trail_.back().first + 1 == trail_.back().second) {
            trail_.pop_back();
        }
        if (trail_.empty()) {
            return false;
        }
        ++trail_.back().first;
        return true;
    }
    std::size_t choose(std::size_t options) {
        if (at_ == trail_.size()) {
            trail_.emplace_back(0, options);
        }
        return trail_[at_++].first;
    }

private:
    std::vector<std::pair<std::size_t, std::size_t>> trail_;
    std::size_t at_{0};
    bool started_{false};
};

/// What a run of the world may contain.
struct scenario {
    std::vector<std::vector<config::key_owner_set>> owners; ///< key_owners as each node knows them
    std::vector<wall_time> confirmed;                       ///< per node
    std::vector<std::string> keys;                          ///< empty text: a key issued by node 0
    int sends{2};                                           ///< of each key
    int faults{2};
    nanoseconds step{0}; ///< a passing of time that may happen once, 0: none
    bool stops{false};   ///< a fault may also be a planned stop of a node
    nanoseconds skew{0}; ///< error of the wall clock of a node that replaced a crashed one
};

inline endpoint node_address(std::size_t n) {
    return {"10.1.0." + std::to_string(n + 1), 80};
}

/// Nodes with real decision state machines; the network, callers and targets are choices.
class world {
public:
    explicit world(const scenario& plan);

    /// Does one enabled action; false when there is none.
    bool act(chooser& choices);

    bool violated{false};     ///< a key ran twice, or "not-run" was said of one that ran
    std::vector<int> runs;    ///< by key
    std::vector<int> replays; ///< by key

private:
    enum class phase : std::uint8_t { waiting, decided, written, forwarded, closed, vanished };
    enum class act_kind : std::uint8_t {
        send,
        write,
        shed,
        refuse_connection,
        pause,
        answer,
        lose,
        deliver,
        cut,
        reply,
        cut_late,
        notice_crash,
        crash,
        stop,
        pass
    };
    struct flight {
        std::size_t node{0};
        std::size_t key{0};
        traffic::request_info info;
        phase at{phase::waiting};
        traffic::step step;
        std::size_t child{0}; ///< flight at the owner, for forwarded
    };
    struct action {
        act_kind kind{act_kind::send};
        std::size_t index{0}; ///< flight or node
        std::size_t key{0};
    };
    struct node {
        std::shared_ptr<config::snapshot> configuration;
        std::unique_ptr<seeded_random_source> random;
        std::unique_ptr<dispatch::decision_core> core;
        std::uint64_t incarnation{1};
        nanoseconds skew{0};
    };

    [[nodiscard]] dispatch::moment time_of(std::size_t n) const {
        return {now_.now, now_.wall + nodes_[n].skew};
    }
    [[nodiscard]] std::vector<action> enabled() const;
    void add_flight_actions(std::size_t index, std::vector<action>& all) const;
    void start(std::size_t n, dispatch::moment started);
    void perform(const action& it);
    void perform_on(flight& it, act_kind kind);
    std::size_t begin(std::size_t n, std::size_t key, bool from_node);
    void write(flight& it, bool shed);
    void end(flight& it, health::answer_kind kind, bool sent);
    void finish(flight& it, bool answered);
    void crash(std::size_t n);
    void pump();
    void take(flight& it, traffic::step step);

    scenario plan_;
    dispatch::moment now_;
    std::vector<node> nodes_;
    std::vector<flight> flights_;
    std::vector<int> sends_left_;
    int faults_left_;
    bool may_pass_;
    std::uint64_t last_id_{0};
};

inline world::world(const scenario& plan)
    : runs(plan.keys.size()), replays(plan.keys.size()), plan_(plan),
      sends_left_(plan.keys.size(), plan.sends), faults_left_(plan.faults),
      may_pass_(plan.step != nanoseconds(0)) {
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
        start(i, {now_.now - uptime, now_.wall - uptime});
    }
    for (auto& it : plan_.keys) {
        it = it.empty() ? nodes_[0].core->issue_key(now_.now) : it;
    }
}

inline void world::start(std::size_t n, dispatch::moment started) {
    auto& it = nodes_[n];
    it.random = std::make_unique<seeded_random_source>(n);
    it.core = std::make_unique<dispatch::decision_core>(
        node_address(n), it.incarnation++, started,
        dispatch::core_options{
            .make_policy = [] { return std::make_unique<routing::round_robin>(); }},
        *it.random);
    it.core->set_confirmed(plan_.confirmed[n]);
    auto view = std::make_shared<routing::view>();
    view->configuration = it.configuration;
    const auto& service = it.configuration->services[0];
    view->services = {{&service, {{&service.targets[0], 1.0, 0}, {&service.targets[1], 1.0, 1}}}};
    it.core->set_view(view, std::make_shared<routing::route_table>(it.configuration), now_.now);
}

inline std::vector<world::action> world::enabled() const {
    std::vector<action> all;
    for (std::size_t key = 0; key < sends_left_.size(); ++key) {
        for (std::size_t n = 0; sends_left_[key] > 0 && n < nodes_.size(); ++n) {
            all.push_back({act_kind::send, n, key});
        }
    }
    for (std::size_t i = 0; i < flights_.size(); ++i) {
        add_flight_actions(i, all);
    }
    for (std::size_t n = 0; faults_left_ > 0 && !flights_.empty() && n < nodes_.size(); ++n) {
        all.push_back({act_kind::crash, n, 0});
        if (plan_.stops) {
            all.push_back({act_kind::stop, n, 0});
        }
    }
    if (may_pass_) {
        all.push_back({act_kind::pass, 0, 0});
    }
    return all;
}

inline void world::add_flight_actions(std::size_t index, std::vector<action>& all) const {
    const auto& it = flights_[index];
    const auto add = [&](act_kind kind) { all.push_back({kind, index, it.key}); };
    const bool fault = faults_left_ > 0;
    if (it.at == phase::decided && it.step.kind == traffic::step_kind::send) {
        add(act_kind::write);
        if (fault) {
            add(act_kind::shed);
            add(act_kind::refuse_connection);
            add(act_kind::pause);
        }
    } else if (it.at == phase::decided) {
        add(act_kind::deliver);
        if (fault) {
            add(act_kind::cut);
        }
    } else if (it.at == phase::written) {
        add(act_kind::answer);
        if (fault) {
            add(act_kind::lose);
        }
    } else if (it.at == phase::forwarded) {
        const auto child = flights_[it.child].at;
        if (child == phase::closed) {
            add(act_kind::reply);
        } else if (child == phase::vanished) {
            add(act_kind::notice_crash);
        }
        if (fault && child != phase::vanished) {
            add(act_kind::cut_late);
        }
    }
}

inline bool world::act(chooser& choices) {
    const auto all = enabled();
    if (all.empty()) {
        return false;
    }
    perform(all[choices.choose(all.size())]);
    pump();
    return true;
}

inline void world::perform(const action& it) {
    switch (it.kind) {
    case act_kind::send:
        --sends_left_[it.key];
        begin(it.index, it.key, false);
        return;
    case act_kind::crash:
        crash(it.index);
        return;
    case act_kind::stop:
        --faults_left_;
        nodes_[it.index].core->stop(now_.now);
        return;
    case act_kind::pass:
        may_pass_ = false;
        now_ = {now_.now + plan_.step, now_.wall + plan_.step};
        return;
    default:
        perform_on(flights_[it.index], it.kind);
    }
}

inline void world::perform_on(flight& it, act_kind kind) {
    using health::answer_kind;
    const bool free = kind == act_kind::write || kind == act_kind::answer ||
                      kind == act_kind::deliver || kind == act_kind::reply ||
                      kind == act_kind::notice_crash;
    faults_left_ -= free ? 0 : 1;
    switch (kind) {
    case act_kind::pause:
        now_ = {now_.now + seconds(31), now_.wall + seconds(31)};
        write(it, false);
        return;
    case act_kind::write:
    case act_kind::shed:
        write(it, kind == act_kind::shed);
        return;
    case act_kind::refuse_connection:
    case act_kind::cut:
        end(it, answer_kind::connect_failed, false);
        return;
    case act_kind::answer:
    case act_kind::reply:
        end(it, answer_kind::ok, true);
        return;
    case act_kind::deliver: {
        std::size_t owner = 0;
        while (node_address(owner) != it.step.address) {
            ++owner;
        }
        it.at = phase::forwarded;
        const auto index = static_cast<std::size_t>(&it - flights_.data());
        const auto child = begin(owner, it.key, true); // moves the flights
        flights_[index].child = child;
        return;
    }
    default:
        end(it, answer_kind::connection_lost, true);
    }
}

inline std::size_t world::begin(std::size_t n, std::size_t key, bool from_node) {
    flight it;
    it.node = n;
    it.key = key;
    it.info.id = ++last_id_;
    it.info.method = "POST";
    it.info.path = "/";
    it.info.workspace = "w";
    it.info.idempotency_key = plan_.keys[key];
    it.info.body_replayable = true;
    it.info.from_node = from_node;
    it.info.arrived = now_.now;
    it.info.deadline = now_.now + seconds(30);
    nodes_[n].core->begin(it.info, time_of(n));
    flights_.push_back(std::move(it));
    return flights_.size() - 1;
}

inline void world::write(flight& it, bool shed) {
    if (!nodes_[it.node].core->may_send(it.info.id, time_of(it.node))) {
        end(it, health::answer_kind::cancelled, false);
    } else if (shed) {
        end(it, health::answer_kind::shed, true);
    } else {
        violated = violated || ++runs[it.key] > 1;
        it.at = phase::written;
    }
}

inline void world::end(flight& it, health::answer_kind kind, bool sent) {
    traffic::attempt_result attempt;
    attempt.kind = kind;
    attempt.request_bytes_sent = sent;
    attempt.sent = attempt.ended = now_.now;
    if (nodes_[it.node].core->ended(it.info.id, attempt, time_of(it.node))) {
        it.at = phase::waiting;
    } else {
        finish(it, it.at == phase::written);
    }
}

inline void world::finish(flight& it, bool answered) {
    auto answer = answered ? std::make_shared<const traffic::stored_answer>() : nullptr;
    it.at = phase::closed;
    nodes_[it.node].core->finished(it.info.id, true, std::move(answer), time_of(it.node));
}

inline void world::crash(std::size_t n) {
    --faults_left_;
    for (auto& it : flights_) {
        if (it.node == n && it.at != phase::closed) {
            it.at = phase::vanished;
        }
    }
    now_ = {now_.now + seconds(1), now_.wall + seconds(1)};
    nodes_[n].skew = plan_.skew;
    start(n, time_of(n));
}

inline void world::pump() {
    for (auto& it : nodes_) {
        it.core->tick(now_.now);
        static_cast<void>(it.core->take_events());
        static_cast<void>(it.core->take_ready());
    }
    for (auto& it : flights_) {
        if (it.at == phase::waiting) {
            if (auto step = nodes_[it.node].core->poll(it.info.id, time_of(it.node))) {
                take(it, std::move(*step));
            }
        }
    }
}

inline void world::take(flight& it, traffic::step step) {
    it.at = phase::decided;
    it.step = std::move(step);
    if (it.step.kind == traffic::step_kind::refuse) {
        const bool said = it.step.reason.result == traffic::outcome::not_run;
        violated = violated || (said && runs[it.key] > 0);
        finish(it, false);
    } else if (it.step.kind == traffic::step_kind::replay) {
        violated = violated || runs[it.key] == 0;
        ++replays[it.key];
        finish(it, false);
    }
}

} // namespace wigeonrill::test

#endif
