#ifndef WIGEONRILL_TEST_DISPATCH_FLEET_REPLAY_H
#define WIGEONRILL_TEST_DISPATCH_FLEET_REPLAY_H

#include "fixture.h"

#include <cmath>
#include <functional>
#include <queue>

namespace wigeonrill::test {

/// A load on one service, as orders that may run once.
struct replay_plan {
    std::size_t nodes{36};
    int targets{13};
    std::uint32_t slots{2};
    std::uint32_t queue{8};      ///< requests that wait in a target; more are shed
    double per_second{90.0};     ///< Poisson arrivals at random nodes
    double mean_service_s{0.22}; ///< uniform, half as much more or less
    std::size_t sick_at_once{0}; ///< targets that fail what they get, in turns
    seconds spell{6};            ///< how long each turn lasts
    milliseconds objective{800}; ///< later answers are late
    milliseconds news_delay{2};  ///< between nodes
    bool tells{true};            ///< nodes tell each other what they observe
    seconds length{60};
    dispatch::core_options::policy_factory policy;
};

struct replay_result {
    int requests{0};
    int late{0};
    int failed{0};
    int refused{0};
    double least_used{1.0}; ///< share of the sound targets that got a request in 2 s, at the least
};

/// Plays a load on the decision cores of a fleet and on targets that queue, fail in spells and
/// shed.
class fleet_replay {
public:
    explicit fleet_replay(const replay_plan& plan)
        : plan_(plan), snapshot_(make_snapshot(plan.targets, plan.slots)),
          targets_(static_cast<std::size_t>(plan.targets)) {
        snapshot_->routes.at(1).key = config::key_policy::optional;
        const auto view = make_view(snapshot_);
        const auto table = std::make_shared<routing::route_table>(snapshot_);
        for (std::size_t i = 0; i < plan.nodes; ++i) {
            randoms_.push_back(std::make_unique<seeded_random_source>(100 + i));
            cores_.push_back(std::make_unique<dispatch::decision_core>(
                endpoint{"10.1.0.1", 80}, 7, now(),
                dispatch::core_options{.shed_may_wait = false,
                                       .tell_counts = true,
                                       .own_domain = {},
                                       .make_policy = plan.policy},
                *randoms_.back()));
            cores_.back()->set_view(view, table, now_);
        }
    }

    replay_result run() {
        const auto end = now_ + plan_.length;
        at(now_ + exponential(1.0 / plan_.per_second), [this, end] { arrive(end); });
        for (auto window = now_ + spell_memory; window < end; window += floor_window) {
            at(window, [this] { close_window(); });
        }
        for (auto tick = now_; tick < end; tick += milliseconds(50)) {
            at(tick, [this] { tick_all(); });
        }
        while (!events_.empty()) {
            const auto it = events_.top();
            events_.pop();
            now_ = it.when;
            it.work();
        }
        return result_;
    }

private:
    static constexpr seconds floor_window{2};
    static constexpr seconds spell_memory{12}; ///< after which a target counts as sound again

    using task = std::function<void()>;
    struct event {
        instant when;
        std::uint64_t order;
        task work;
        friend bool operator>(const event& a, const event& b) {
            return std::pair(a.when, a.order) > std::pair(b.when, b.order);
        }
    };
    struct target_state {
        std::uint32_t running{0};
        std::queue<task> waiting;
        bool was_used{false};
        instant last_sick{};
    };

    dispatch::moment now() const { return {now_, wall_time{} + now_.time_since_epoch()}; }
    void at(instant when, task todo) { events_.push({when, ++order_, std::move(todo)}); }
    nanoseconds exponential(double mean) {
        const std::chrono::duration<double> drawn(-mean * std::log1p(-random_.uniform()));
        return std::chrono::duration_cast<nanoseconds>(drawn);
    }
    nanoseconds service_time() {
        const std::chrono::duration<double> drawn((0.5 + random_.uniform()) * plan_.mean_service_s);
        return std::chrono::duration_cast<nanoseconds>(drawn);
    }
    bool sick(std::size_t target) const {
        const auto turn = static_cast<std::size_t>(now_.time_since_epoch() / plan_.spell);
        const auto first = turn * plan_.sick_at_once;
        return (target + targets_.size() * 1'000 - first) % targets_.size() < plan_.sick_at_once;
    }

    /// Keeps the share of sound targets that were used since the last call.
    void close_window() {
        int sound = 0;
        int used = 0;
        for (auto& it : targets_) {
            const bool is_sound = now_ - it.last_sick > spell_memory;
            sound += is_sound ? 1 : 0;
            used += is_sound && it.was_used ? 1 : 0;
            it.was_used = false;
        }
        if (sound > 0) {
            result_.least_used = std::min(result_.least_used,
                                          static_cast<double>(used) / static_cast<double>(sound));
        }
    }

    void arrive(instant end) {
        const auto next = now_ + exponential(1.0 / plan_.per_second);
        if (next < end) {
            at(next, [this, end] { arrive(end); });
        }
        ++result_.requests;
        traffic::request_info info;
        info.id = ++last_id_;
        info.method = "POST";
        info.host = "api.example";
        info.path = "/runs/" + std::to_string(info.id);
        info.arrived = now_;
        info.deadline = now_ + seconds(5);
        const auto node = random_.below(cores_.size());
        cores_[node]->begin(info, now());
        advance(node, info.id, now_);
    }

    void advance(std::size_t node, std::uint64_t id, instant arrived) {
        const auto step = cores_[node]->poll(id, now());
        const bool sends =
            step && step->kind == traffic::step_kind::send && cores_[node]->may_send(id, now());
        spread(node);
        if (!sends) {
            ++result_.refused;
            cores_[node]->finished(id, false, nullptr, now());
            return;
        }
        const auto target = std::stoul(step->target.value.substr(1));
        at(now_ + milliseconds(1), [this, node, id, arrived, target] {
            take(target, [this, node, id, arrived](health::answer_kind kind) {
                answered(node, id, arrived, kind);
            });
        });
    }

    using answer = std::function<void(health::answer_kind)>;
    void take(std::size_t index, const answer& reply) {
        auto& target = targets_[index];
        target.was_used = true;
        if (target.running < plan_.slots) {
            execute(index, reply);
        } else if (target.waiting.size() < plan_.queue) {
            target.waiting.push([this, index, reply] { execute(index, reply); });
        } else {
            reply(health::answer_kind::shed);
        }
    }
    void execute(std::size_t index, const answer& reply) {
        const bool fails = sick(index);
        ++targets_[index].running;
        const auto time = fails ? milliseconds(1) : service_time();
        at(now_ + time, [this, index, reply, fails] {
            auto& target = targets_[index];
            --target.running;
            if (!target.waiting.empty()) {
                const auto next = target.waiting.front();
                target.waiting.pop();
                next();
            }
            reply(fails ? health::answer_kind::server_error : health::answer_kind::ok);
        });
    }

    void answered(std::size_t node, std::uint64_t id, instant arrived, health::answer_kind kind) {
        traffic::attempt_result attempt;
        attempt.kind = kind;
        attempt.request_bytes_sent = true;
        attempt.sent = arrived;
        attempt.ended = now_;
        if (cores_[node]->ended(id, attempt, now())) {
            advance(node, id, arrived);
            return;
        }
        cores_[node]->finished(id, true, nullptr, now());
        spread(node);
        result_.failed += kind == health::answer_kind::ok ? 0 : 1;
        result_.late += kind == health::answer_kind::ok && now_ - arrived > plan_.objective ? 1 : 0;
    }

    void tick_all() {
        for (std::size_t i = 0; i < cores_.size(); ++i) {
            cores_[i]->tick(now_);
            spread(i);
        }
        for (std::size_t i = 0; i < targets_.size(); ++i) {
            targets_[i].last_sick = sick(i) ? now_ : targets_[i].last_sick;
        }
    }

    void spread(std::size_t node) {
        for (const auto& it : cores_[node]->take_events()) {
            const auto* seen = std::get_if<health::observation>(&it);
            if (seen == nullptr || !plan_.tells) {
                continue;
            }
            auto told = *seen;
            told.reporter = node_id(std::to_string(node));
            at(now_ + plan_.news_delay, [this, told, node] {
                for (std::size_t i = 0; i < cores_.size(); ++i) {
                    if (i != node) {
                        cores_[i]->observe(told, now_);
                    }
                }
            });
        }
    }

    replay_plan plan_;
    std::shared_ptr<config::snapshot> snapshot_;
    seeded_random_source random_{1};
    std::vector<std::unique_ptr<seeded_random_source>> randoms_;
    std::vector<std::unique_ptr<dispatch::decision_core>> cores_;
    std::vector<target_state> targets_;
    instant now_{seconds(1'000)};
    std::uint64_t order_{0};
    std::uint64_t last_id_{0};
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    replay_result result_;
};

} // namespace wigeonrill::test

#endif
