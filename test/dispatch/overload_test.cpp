#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using traffic::step_kind;

namespace {

constexpr std::uint32_t urgent_priority = 1;
constexpr std::uint32_t other_priority = 2;

// Targets with routes of two priorities.
std::shared_ptr<config::snapshot> make_two_priorities(int targets, std::uint32_t slots) {
    auto snapshot = test::make_snapshot(targets, slots);
    auto urgent = test::make_route("urgent", "/urgent", config::repeat_policy::idempotent);
    urgent.priority = urgent_priority;
    snapshot->routes.front().priority = other_priority;
    snapshot->routes.push_back(urgent);
    return snapshot;
}

class switched_watch final : public traffic::caller_watch {
public:
    [[nodiscard]] bool has_left() const override { return left; }
    std::atomic<bool> left{false};
};

} // namespace

TEST_GROUP(overload) {
    std::unique_ptr<test::dispatcher_fixture> node =
        std::make_unique<test::dispatcher_fixture>(make_two_priorities(2, 2));

    // A peer tells how many requests it has in each target.
    void tell(int count) {
        for (const char* target : {"t0", "t1"}) {
            node->dispatcher->on_peer_observation({service_name("print"), target_id(target),
                                                   health::observation_kind::load_only, count,
                                                   node_id("peer")});
        }
    }
    traffic::step ask(const char* path) {
        const auto info = node->request("GET", path);
        auto step = node->dispatcher->first_step(info);
        node->dispatcher->finish_request(info, true, nullptr);
        return step;
    }
    void wait_for_step() {
        node->clock.advance(admission::priority_gate::step_interval);
    }
};

// Guards against nodes that each take less urgent requests because their own queues are empty,
// while all nodes together have more requests in the targets than these can serve.
TEST(overload, less_urgent_requests_are_turned_away_while_peers_fill_the_targets) {
    CHECK(ask("/urgent/1").kind == step_kind::send);
    wait_for_step();
    tell(3);
    const auto refused = ask("/a");
    STRCMP_EQUAL("low-priority", refused.reason.type.c_str());
    CHECK(refused.reason.result == traffic::outcome::not_run);
    CHECK(refused.reason.retry_after >= milliseconds(100));
    CHECK(ask("/urgent/2").kind == step_kind::send);
    wait_for_step();
    tell(0);
    CHECK(ask("/a").kind == step_kind::send);
}

// Guards against refusals because slots are full although answers come well within their target
// latency.
TEST(overload, prompt_answers_turn_nothing_away) {
    auto snapshot = make_two_priorities(2, 2);
    snapshot->routes.front().target_latency = seconds(1);
    node = std::make_unique<test::dispatcher_fixture>(snapshot);
    const auto answer_in = [&](milliseconds latency) {
        for (int i = 0; i < 40; ++i) {
            const auto info = node->request("GET", "/a");
            static_cast<void>(node->dispatcher->first_step(info));
            CHECK(node->dispatcher->may_send(info));
            node->clock.advance(latency);
            const auto answered = node->attempt(health::answer_kind::ok);
            CHECK_FALSE(node->dispatcher->on_attempt_ended(info, answered).has_value());
            node->dispatcher->finish_request(info, true, nullptr);
        }
    };
    const auto is_taken_while_full = [&] {
        CHECK(ask("/urgent/1").kind == step_kind::send);
        wait_for_step();
        tell(3);
        return ask("/a").kind == step_kind::send;
    };
    answer_in(milliseconds(200));
    CHECK(is_taken_while_full());
    tell(0);
    answer_in(milliseconds(900));
    CHECK_FALSE(is_taken_while_full());
}

// Guards against refusals because of counts that are missing or no longer true.
TEST(overload, old_counts_turn_nothing_away) {
    CHECK(ask("/urgent/1").kind == step_kind::send);
    CHECK(ask("/a").kind == step_kind::send);
    tell(3);
    node->clock.advance(routing::peer_load::lifetime);
    CHECK(ask("/a").kind == step_kind::send);
    wait_for_step();
    CHECK(ask("/a").kind == step_kind::send);
}

// Guards against a change of services whose requests all have one priority.
TEST(overload, one_priority_turns_nothing_away) {
    CHECK(ask("/a").kind == step_kind::send);
    wait_for_step();
    tell(9);
    CHECK(ask("/a").kind == step_kind::send);
}

// Guards against refusing an urgent request because less urgent ones fill the queue, and against
// serving these before it.
TEST(overload, an_urgent_request_takes_the_place_of_a_less_urgent_one) {
    const auto snapshot = make_two_priorities(1, 1);
    const auto& clock = node->clock;
    dispatch::decision_core core({"10.1.0.1", 80}, 7, dispatch::read_clocks(clock), {},
                                 node->random);
    core.set_view(test::make_view(snapshot), std::make_shared<routing::route_table>(snapshot),
                  clock.now());
    std::vector<std::uint64_t> ids;
    for (const char* path : {"/a", "/b", "/c", "/urgent"}) {
        auto info = node->request("GET", path);
        core.begin_request(info, dispatch::read_clocks(clock));
        ids.push_back(info.id);
    }
    const auto at = dispatch::read_clocks(clock);
    CHECK(core.poll(ids[0], at)->kind == step_kind::send);
    STRCMP_EQUAL("low-priority", core.poll(ids[2], at)->reason.type.c_str());
    CHECK_FALSE(core.poll(ids[1], at).has_value());
    CHECK_FALSE(core.poll(ids[3], at).has_value());
    core.finish_request(ids[0], true, nullptr, at);
    CHECK(core.poll(ids[3], at)->kind == step_kind::send);
    CHECK_FALSE(core.poll(ids[1], at).has_value());
}

// Guards against a request that keeps its place in the queue, and later a target, after its caller
// has left.
TEST(overload, a_caller_that_leaves_frees_its_place) {
    node = std::make_unique<test::dispatcher_fixture>(make_two_priorities(1, 1));
    auto& busy = *node->dispatcher;
    CHECK(busy.first_step(node->request("GET", "/a")).kind == step_kind::send);
    switched_watch watch;
    auto info = node->request("GET", "/b");
    info.watch = &watch;
    std::string refusal;
    std::thread waiting([&] { refusal = busy.first_step(info).reason.type; });
    while (busy.waiting() == 0) {
        std::this_thread::yield();
    }
    watch.left = true;
    waiting.join();
    STRCMP_EQUAL("caller-left", refusal.c_str());
    LONGS_EQUAL(0, busy.waiting());
}
