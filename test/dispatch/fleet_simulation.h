#ifndef WIGEONRILL_TEST_DISPATCH_FLEET_SIMULATION_H
#define WIGEONRILL_TEST_DISPATCH_FLEET_SIMULATION_H

#include "simulation_plan.h"

#include <cmath>
#include <functional>
#include <queue>

namespace wigeonrill::test {

/// Discrete-event simulation of the decision cores of a fleet, and of targets that queue and shed
/// requests and fail in bursts.
class fleet_simulation {
public:
    explicit fleet_simulation(const simulation_plan& plan)
        : plan_(plan), snapshot_(make_snapshot(plan.targets, plan.slots)),
          targets_(static_cast<std::size_t>(plan.targets)) {
        result_.told_arrivals.resize(plan.limited_targets);
        snapshot_->routes.at(1).key = config::key_policy::optional;
        const auto view = make_view(snapshot_);
        const auto table = std::make_shared<routing::route_table>(snapshot_);
        for (std::size_t i = 0; i < plan.nodes; ++i) {
            randoms_.push_back(std::make_unique<seeded_random_source>(100 + i));
            cores_.push_back(std::make_unique<dispatch::decision_core>(
                endpoint{"10.1.0.1", 80}, 7, now(),
                dispatch::core_options{.shed_may_wait = false,
                                       .publish_outstanding = true,
                                       .own_domain = {},
                                       .make_policy = plan.policy},
                *randoms_.back()));
            join_group(i);
            cores_.back()->set_view(view, table, now_);
            cores_.back()->set_nodes(name_of(i), names_without(i), now_);
        }
    }

    simulation_result run() {
        const auto end = now_ + plan_.duration;
        schedule(now_ + exponential(1.0 / plan_.requests_per_second),
                 [this, end] { add_arrival(end); });
        for (auto window = now_ + plan_.recovery_time; window < end; window += usage_window) {
            schedule(window, [this] { record_usage(); });
        }
        for (auto span_end = now_ + usage_window; span_end < end; span_end += usage_step) {
            schedule(span_end, [this] { record_usage_without_failures(); });
        }
        for (auto tick = now_; tick < end; tick += milliseconds(50)) {
            schedule(tick, [this] { tick_all_nodes(); });
        }
        for (std::size_t i = 0; i < targets_.size() && plan_.mean_burst_gap.count() > 0; ++i) {
            start_bursts(i, end);
        }
        while (!events_.empty()) {
            const auto it = events_.top();
            events_.pop();
            now_ = it.when;
            it.action();
        }
        return result_;
    }

private:
    /// Interval of record_usage().
    static constexpr seconds usage_window{2};
    /// Interval of record_usage_without_failures().
    static constexpr milliseconds usage_step{50};
    static constexpr double floor_share = 0.7;

    using task = std::function<void()>;
    struct event {
        instant when;
        std::uint64_t number; ///< order of events at the same time
        task action;
        friend bool operator>(const event& a, const event& b) {
            return std::pair(a.when, a.number) > std::pair(b.when, b.number);
        }
    };
    struct simulated_target {
        bool in_burst{false};
        std::uint32_t running{0};
        std::queue<task> waiting;
        bool was_used{false};
        instant last_failing{};
        instant last_arrival{};
        instant last_failed_answer{};
    };

    static node_id name_of(std::size_t node) { return node_id("node-" + std::to_string(node)); }
    std::vector<node_id> names_without(std::size_t node) const {
        std::vector<node_id> names;
        for (std::size_t i = 0; i < plan_.nodes; ++i) {
            if (i != node) {
                names.push_back(name_of(i));
            }
        }
        return names;
    }
    void join_group(std::size_t node) {
        std::vector<node_id> names = names_without(node);
        if (plan_.slices) {
            const auto group = routing::choose_node_group(name_of(node), std::move(names));
            cores_[node]->set_group(group.position);
            groups_.push_back(group.position.index);
        } else {
            cores_[node]->set_group({0, 1, plan_.nodes});
            groups_.push_back(node % plan_.told_groups);
        }
    }
    dispatch::clock_reading now() const { return {now_, wall_time{} + now_.time_since_epoch()}; }
    void schedule(instant when, task action) {
        events_.push({when, ++last_event_number_, std::move(action)});
    }
    nanoseconds exponential(double mean) {
        const std::chrono::duration<double> drawn(-mean * std::log1p(-random_.uniform()));
        return std::chrono::duration_cast<nanoseconds>(drawn);
    }
    nanoseconds service_time() {
        const std::chrono::duration<double> drawn((0.5 + random_.uniform()) * plan_.mean_service_s);
        return std::chrono::duration_cast<nanoseconds>(drawn);
    }
    bool is_in_own_burst(std::size_t target) const {
        constexpr double golden_ratio = 0.618033988749895; // spreads the starts of the bursts
        const double start = static_cast<double>(target) * golden_ratio;
        const std::chrono::duration<double> time = now_.time_since_epoch();
        const double position = time / plan_.burst_period + start;
        const double share = std::chrono::duration<double>(plan_.burst_length) / plan_.burst_period;
        return position - std::floor(position) < share;
    }
    /// Schedules the bursts of a target, which may begin in the middle of one.
    void start_bursts(std::size_t target, instant end) {
        const std::chrono::duration<double> length = plan_.burst_length;
        const std::chrono::duration<double> gap = plan_.mean_burst_gap;
        targets_[target].in_burst = bursts_.uniform() < length / (length + gap);
        const double part = targets_[target].in_burst ? bursts_.uniform() : 1.0;
        schedule_burst_change(target, part, end);
    }
    void schedule_burst_change(std::size_t target, double part, instant end) {
        auto& state = targets_[target];
        const std::chrono::duration<double> gap(-std::log1p(-bursts_.uniform()) *
                                                static_cast<double>(plan_.mean_burst_gap.count()));
        const std::chrono::duration<double> length((0.5 + bursts_.uniform()) *
                                                   static_cast<double>(plan_.burst_length.count()));
        const auto next =
            now_ + std::chrono::duration_cast<nanoseconds>((state.in_burst ? length : gap) * part);
        if (next < end) {
            schedule(next, [this, target, end] {
                targets_[target].in_burst = !targets_[target].in_burst;
                schedule_burst_change(target, 1.0, end);
            });
        }
    }
    bool is_failing(std::size_t target) const {
        if (plan_.burst_period.count() > 0) {
            return is_in_own_burst(target);
        }
        if (plan_.mean_burst_gap.count() > 0) {
            return targets_[target].in_burst;
        }
        const auto turn = static_cast<std::size_t>(now_.time_since_epoch() / plan_.burst_length);
        const auto first_failing = turn * plan_.failing_at_once;
        return (target + targets_.size() * 1'000 - first_failing) % targets_.size() <
               plan_.failing_at_once;
    }

    bool draw_failure(std::size_t target) {
        const double share =
            is_failing(target) ? plan_.failed_share_in_bursts : plan_.failed_share_else;
        return share >= 1.0 || (share > 0.0 && random_.uniform() < share);
    }

    /// Updates the least share of healthy targets that got a request since the last call.
    void record_usage() {
        int healthy = 0;
        int used = 0;
        for (auto& it : targets_) {
            const bool is_healthy = now_ - it.last_failing > plan_.recovery_time;
            healthy += is_healthy ? 1 : 0;
            used += is_healthy && it.was_used ? 1 : 0;
            it.was_used = false;
        }
        if (healthy > 0) {
            const double share = static_cast<double>(used) / static_cast<double>(healthy);
            result_.min_used_share = std::min(result_.min_used_share, share);
            result_.mean_used_share += (share - result_.mean_used_share) / ++result_.windows;
            result_.windows_below_floor += share < floor_share ? 1 : 0;
        }
    }

    void record_usage_without_failures() {
        int without_failures = 0;
        int used = 0;
        for (const auto& it : targets_) {
            const bool is_sound = now_ - it.last_failed_answer > usage_window;
            without_failures += is_sound ? 1 : 0;
            used += is_sound && now_ - it.last_arrival <= usage_window ? 1 : 0;
        }
        if (without_failures > 0) {
            result_.min_share_without_failures =
                std::min(result_.min_share_without_failures,
                         static_cast<double>(used) / static_cast<double>(without_failures));
        }
    }

    void add_arrival(instant end) {
        const auto next = now_ + exponential(1.0 / plan_.requests_per_second);
        if (next < end) {
            schedule(next, [this, end] { add_arrival(end); });
        }
        ++result_.requests;
        traffic::request_info info;
        info.id = ++last_id_;
        info.method = plan_.repeatable ? "GET" : "POST";
        info.host = "api.example";
        info.path = (plan_.repeatable ? "/read/" : "/runs/") + std::to_string(info.id);
        info.body_replayable = plan_.repeatable;
        info.arrived = now_;
        info.deadline = now_ + seconds(5);
        const auto node = random_.next_below(cores_.size());
        cores_[node]->begin_request(info, now());
        handle_next_step(node, info.id, now_);
    }

    void handle_next_step(std::size_t node, std::uint64_t id, instant arrived) {
        const auto step = cores_[node]->poll(id, now());
        const bool sends =
            step && step->kind == traffic::step_kind::send && cores_[node]->may_send(id, now());
        deliver_observations(node);
        if (!sends) {
            ++result_.refused;
            result_.longest_refusal =
                std::max<nanoseconds>(result_.longest_refusal, now_ - arrived);
            cores_[node]->finish_request(id, false, nullptr, now());
            return;
        }
        const auto target = std::stoul(step->target.value.substr(1));
        schedule(now_ + milliseconds(1), [this, node, id, arrived, target] {
            record_limited_arrival(node, target);
            receive_request(target, [this, node, id, arrived, target](health::answer_kind kind) {
                handle_answer(node, id, arrived, target, kind);
            });
        });
    }

    bool names_limit(std::size_t target) const {
        return target < plan_.limited_targets && now_ >= simulation_start + plan_.rate_limit_start;
    }
    void record_limited_arrival(std::size_t node, std::size_t target) {
        const auto told = told_at_.find({node, target});
        if (told != told_at_.end() && now_ >= told->second + telling_time) {
            result_.told_arrivals.at(target).push_back(now_);
        }
    }

    using reply_function = std::function<void(health::answer_kind)>;
    void receive_request(std::size_t index, const reply_function& reply) {
        auto& target = targets_[index];
        target.was_used = true;
        target.last_arrival = now_;
        if (target.running < plan_.slots) {
            run_request(index, reply);
        } else if (target.waiting.size() < plan_.queue_limit) {
            target.waiting.push([this, index, reply] { run_request(index, reply); });
        } else {
            ++result_.shed;
            reply(health::answer_kind::shed);
        }
        const auto waiting = static_cast<std::uint32_t>(target.waiting.size());
        result_.most_in_target = std::max(result_.most_in_target, target.running + waiting);
    }
    void run_request(std::size_t index, const reply_function& reply) {
        const bool fails = draw_failure(index);
        ++targets_[index].running;
        const auto time = fails ? milliseconds(1) : service_time();
        schedule(now_ + time, [this, index, reply, fails] {
            auto& target = targets_[index];
            --target.running;
            target.last_failed_answer = fails ? now_ : target.last_failed_answer;
            if (!target.waiting.empty()) {
                const auto next = target.waiting.front();
                target.waiting.pop();
                next();
            }
            reply(fails ? health::answer_kind::server_error : health::answer_kind::ok);
        });
    }

    void handle_answer(std::size_t node, std::uint64_t id, instant arrived, std::size_t target,
                       health::answer_kind kind) {
        traffic::attempt_result attempt;
        attempt.kind = kind;
        if (names_limit(target)) {
            attempt.rate_limit.per_second = plan_.rate_limit;
            told_at_.try_emplace({node, target}, now_);
        }
        attempt.request_bytes_sent = true;
        attempt.sent = arrived;
        attempt.ended = now_;
        if (cores_[node]->on_attempt_ended(id, attempt, now())) {
            handle_next_step(node, id, arrived);
            return;
        }
        cores_[node]->finish_request(id, true, nullptr, now());
        deliver_observations(node);
        result_.failed += kind == health::answer_kind::ok ? 0 : 1;
        result_.late +=
            kind == health::answer_kind::ok && now_ - arrived > plan_.latency_objective ? 1 : 0;
    }

    void tick_all_nodes() {
        for (std::size_t i = 0; i < cores_.size(); ++i) {
            cores_[i]->tick(now_);
            deliver_observations(i);
        }
        for (std::size_t i = 0; i < targets_.size(); ++i) {
            targets_[i].last_failing = is_failing(i) ? now_ : targets_[i].last_failing;
        }
    }

    void deliver_observations(std::size_t node) {
        for (const auto& it : cores_[node]->take_events()) {
            if (const auto* notice = std::get_if<health::rate_limit>(&it)) {
                deliver_rate_limit(node, *notice);
            }
            const auto* seen = std::get_if<health::observation>(&it);
            if (seen == nullptr || !plan_.shares_observations) {
                continue;
            }
            auto shared = *seen;
            shared.reporter = node_id(std::to_string(node));
            schedule(now_ + plan_.observation_delay, [this, shared, node] {
                for (std::size_t i = 0; i < cores_.size(); ++i) {
                    if (i != node && groups_[i] == groups_[node]) {
                        cores_[i]->on_peer_observation(shared, now_);
                    }
                }
            });
        }
    }

    void deliver_rate_limit(std::size_t node, const health::rate_limit& notice) {
        if (!plan_.shares_observations) {
            return;
        }
        schedule(now_ + plan_.observation_delay, [this, notice, node] {
            for (std::size_t i = 0; i < cores_.size(); ++i) {
                if (i != node) {
                    cores_[i]->on_peer_rate_limit(notice, now_);
                }
            }
        });
    }

    simulation_plan plan_;
    std::shared_ptr<config::snapshot> snapshot_;
    seeded_random_source random_{plan_.seed};
    seeded_random_source bursts_{plan_.seed + 1};
    std::vector<std::unique_ptr<seeded_random_source>> randoms_;
    std::vector<std::unique_ptr<dispatch::decision_core>> cores_;
    std::vector<std::size_t> groups_; ///< by node; the nodes of a group tell each other
    std::vector<simulated_target> targets_;
    std::map<std::pair<std::size_t, std::size_t>, instant> told_at_; ///< by node and target
    static constexpr instant simulation_start{seconds(1'000)};
    instant now_{simulation_start};
    std::uint64_t last_event_number_{0};
    std::uint64_t last_id_{0};
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    simulation_result result_;
};

} // namespace wigeonrill::test

#endif
