#ifndef WIGEONRILL_TEST_DISPATCH_FIXTURE_H
#define WIGEONRILL_TEST_DISPATCH_FIXTURE_H

#include "wigeonrill/dispatch.h"

#include <atomic>
#include <thread>

namespace wigeonrill::test {

/// Records all events that the dispatcher reports.
class recording_sink final : public dispatch::event_sink {
public:
    void on_answer(const health::answer& answer) override {
        const std::lock_guard guard(mutex_);
        answers.push_back(answer);
    }
    void on_decision(const dispatch::decision_record& decision) override {
        const std::lock_guard guard(mutex_);
        decisions.push_back(decision);
    }
    void on_observation(const health::observation& seen) override {
        const std::lock_guard guard(mutex_);
        observations.push_back(seen);
    }
    void on_rate_limit(const health::rate_limit& notice) override {
        const std::lock_guard guard(mutex_);
        rate_limits.push_back(notice);
    }
    void on_credit_ask(const quota::outgoing_ask& ask) override {
        const std::lock_guard guard(mutex_);
        credit_asks.push_back(ask);
    }
    /// Returns the number of messages to granters that were not taken yet.
    std::size_t asks() {
        const std::lock_guard guard(mutex_);
        return credit_asks.size();
    }
    void on_crash_mark(const once::crash_mark& mark) override {
        const std::lock_guard guard(mutex_);
        marks.push_back(mark);
    }

    std::vector<health::answer> answers;
    std::vector<dispatch::decision_record> decisions;
    std::vector<once::crash_mark> marks;
    std::vector<health::observation> observations;
    std::vector<health::rate_limit> rate_limits;
    std::vector<quota::outgoing_ask> credit_asks;

private:
    std::mutex mutex_;
};

inline config::route make_route(const char* name, const char* prefix,
                                config::repeat_policy repeat) {
    config::route route;
    route.name = route_name(name);
    route.service = service_name("print");
    route.path_prefix = prefix;
    route.repeat = repeat;
    return route;
}

inline config::target make_target(int n, std::uint32_t slots) {
    config::target target;
    target.id = target_id("t" + std::to_string(n));
    target.address = {"10.0.0." + std::to_string(n), 8080};
    target.slots = slots;
    return target;
}

/// Returns a configuration with one service "print", an idempotent route "/" and an at-most-once
/// route "/runs".
inline std::shared_ptr<config::snapshot> make_snapshot(int targets, std::uint32_t slots) {
    auto snapshot = std::make_shared<config::snapshot>();
    snapshot->version = 1;
    snapshot->services.resize(1);
    auto& service = snapshot->services.front();
    service.name = service_name("print");
    service.queue_limit = 2;
    for (int i = 0; i < targets; ++i) {
        service.targets.push_back(make_target(i, slots));
    }
    snapshot->key_owners = {{wall_time{}, {{"10.1.0.1", 80}}}};
    snapshot->routes = {make_route("read", "/", config::repeat_policy::idempotent),
                        make_route("run", "/runs", config::repeat_policy::at_most_once)};
    return snapshot;
}

/// Returns a view in which all targets except the named ones are eligible.
inline routing::view_ptr make_view(const config::snapshot_ptr& snapshot,
                                   const std::vector<std::string>& without = {}) {
    auto view = std::make_shared<routing::view>();
    view->configuration = snapshot;
    for (const auto& service : snapshot->services) {
        routing::service_view eligible{&service, {}};
        for (std::uint32_t i = 0; i < service.targets.size(); ++i) {
            const auto& id = service.targets[i].id.value;
            if (std::find(without.begin(), without.end(), id) == without.end()) {
                eligible.eligible.push_back({&service.targets[i], 1.0, i});
            }
        }
        view->services.push_back(std::move(eligible));
    }
    return view;
}

/// Dispatcher with a manual clock, seeded random numbers and a recording sink.
struct dispatcher_fixture {
    explicit dispatcher_fixture(std::shared_ptr<config::snapshot> configuration)
        : snapshot(std::move(configuration)) {
        clock.set_wall(wall_time{} + std::chrono::hours(500'000));
        clock.advance(seconds(100));
        options.core.gates_priorities = true;
        dispatcher = std::make_unique<dispatch::request_dispatcher>(options, clock, random, sink);
        dispatcher->set_view(make_view(snapshot));
        // Keys without a creation time are accepted only after an uptime above the resend window.
        clock.advance(std::chrono::minutes(20));
        dispatcher->set_config_confirmed_at(clock.wall_now());
    }

    traffic::request_info request(const char* method, const char* path, std::string key = {}) {
        traffic::request_info info;
        info.id = ++last_id;
        info.method = method;
        info.host = "api.example";
        info.path = path;
        info.workspace = "w1";
        info.caller = "192.0.2.1";
        info.idempotency_key = std::move(key);
        info.body_replayable = true;
        info.arrived = clock.now();
        info.deadline = clock.now() + seconds(10);
        return info;
    }

    traffic::attempt_result attempt(health::answer_kind kind, bool sent = true) const {
        traffic::attempt_result result;
        result.kind = kind;
        result.request_bytes_sent = sent;
        result.status = kind == health::answer_kind::ok ? 200 : 0;
        result.sent = clock.now();
        result.ended = clock.now();
        return result;
    }

    manual_clock_source clock;
    seeded_random_source random{1};
    recording_sink sink;
    dispatch::dispatcher_options options{{"10.1.0.1", 80}, 7, {}};
    std::shared_ptr<config::snapshot> snapshot;
    std::unique_ptr<dispatch::request_dispatcher> dispatcher;
    std::uint64_t last_id{0};
};

} // namespace wigeonrill::test

#endif
