#include "fixture.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using health::answer_kind;
using health::observation_kind;
using traffic::step_kind;

TEST_GROUP(spell) {
    std::shared_ptr<config::snapshot> snapshot{test::make_snapshot(3, 2)};
    std::unique_ptr<test::dispatcher_fixture> node;

    void setup() override {
        snapshot->routes.at(1).key = config::key_policy::optional;
        snapshot->routes.at(0).attempts = 2;
        node = std::make_unique<test::dispatcher_fixture>(snapshot);
    }
    std::ptrdiff_t told(observation_kind kind) {
        return std::ranges::count(node->sink.observations, kind, &health::observation::kind);
    }
    std::string send(const traffic::request_info& request) {
        const auto step = node->dispatcher->first(request);
        CHECK(step.kind == step_kind::send);
        CHECK(node->dispatcher->may_send(request));
        return step.target.value;
    }
    std::optional<traffic::step> end(const traffic::request_info& request, answer_kind kind) {
        auto next = node->dispatcher->ended(request, node->attempt(kind));
        if (!next) {
            node->dispatcher->finished(request, true, nullptr);
        }
        return next;
    }
};

// Guards against an order that is sent to a target in a spell of failures while others are free.
TEST(spell, orders_avoid_a_target_that_failed) {
    const auto failed = node->request("POST", "/runs/1");
    const auto sick = send(failed);
    CHECK_FALSE(end(failed, answer_kind::server_error).has_value());
    for (int i = 0; i < 20; ++i) {
        const auto order = node->request("POST", "/runs/2");
        CHECK(send(order) != sick);
        CHECK_FALSE(end(order, answer_kind::ok).has_value());
    }
    LONGS_EQUAL(1, told(observation_kind::failed));
}

// Guards against a node that must fail itself to learn what the others know.
TEST(spell, observations_of_peers_count) {
    node->dispatcher->set_view(test::make_view(snapshot));
    CHECK_FALSE(send(node->request("POST", "/runs/0")).empty()); // the targets are known now
    node->dispatcher->observe({service_name("print"), target_id("t1"), observation_kind::failed});
    for (int i = 0; i < 20; ++i) {
        const auto order = node->request("POST", "/runs/1");
        CHECK(send(order) != "t1");
        CHECK_FALSE(end(order, answer_kind::ok).has_value());
    }
}

// Guards against refusals while every target is suspected: then all of them get work.
TEST(spell, suspicion_alone_refuses_nothing) {
    CHECK_FALSE(send(node->request("POST", "/runs/0")).empty());
    for (const char* it : {"t0", "t1", "t2"}) {
        node->dispatcher->observe({service_name("print"), target_id(it), observation_kind::failed});
    }
    CHECK_FALSE(send(node->request("POST", "/runs/1")).empty());
}

// Guards against an error that reaches the caller of a lookup although another target is free.
TEST(spell, repeatable_request_tries_another_target_after_an_error) {
    const auto request = node->request("GET", "/stock");
    const auto first = send(request);
    const auto next = node->dispatcher->ended(request, node->attempt(answer_kind::server_error));
    CHECK(next.has_value() && next->kind == step_kind::send);
    CHECK(next->target.value != first);
    CHECK(node->dispatcher->may_send(request));
    // Two targets are all that the route allows.
    CHECK_FALSE(end(request, answer_kind::server_error).has_value());
}

// Guards against an order that runs twice because its first target answered with an error.
TEST(spell, order_is_not_repeated_after_an_error) {
    const auto order = node->request("POST", "/runs/1");
    CHECK_FALSE(send(order).empty());
    CHECK_FALSE(node->dispatcher->may_replace(order));
    CHECK_FALSE(end(order, answer_kind::server_error).has_value());
}

// Guards against breaking off a silent target when nobody else can take the request: a node that
// was stopping gave up requests at which their targets were at work.
TEST(spell, silent_target_is_replaced_only_by_a_free_one) {
    const auto request = node->request("GET", "/stock");
    const auto first = send(request);
    CHECK_FALSE(node->dispatcher->may_replace(request)); // its answer is not overdue yet
    node->clock.advance(std::chrono::milliseconds(5'100));
    CHECK(node->dispatcher->may_replace(request));
    for (const char* it : {"t0", "t1", "t2"}) {
        if (it != first) {
            node->dispatcher->observe(
                {service_name("print"), target_id(it), observation_kind::failed});
        }
    }
    CHECK_FALSE(node->dispatcher->may_replace(request));
}

// Guards against nodes that all try a target again at once when its spell may have ended.
TEST(spell, returning_target_gets_a_small_share) {
    CHECK_FALSE(send(node->request("POST", "/runs/0")).empty());
    node->dispatcher->observe({service_name("print"), target_id("t1"), observation_kind::failed});
    node->dispatcher->observe({service_name("print"), target_id("t1"), observation_kind::failed});
    node->clock.advance(seconds(5)); // its probability is a little below even odds
    int tried = 0;
    for (int i = 0; i < 200; ++i) {
        const auto order = node->request("POST", "/runs/1");
        tried += send(order) == "t1" ? 1 : 0;
        // A cancelled order says nothing of its target.
        CHECK(node->dispatcher->ended(order, node->attempt(answer_kind::cancelled)).has_value());
        node->dispatcher->finished(order, false, nullptr);
    }
    CHECK(tried < 20);
}

// Guards against a hanging target that takes orders until their deadlines pass.
TEST(spell, overdue_answer_makes_a_target_suspect) {
    snapshot->routes.at(1).target_latency = seconds(1);
    const auto order = node->request("POST", "/runs/1");
    CHECK_FALSE(send(order).empty());
    node->clock.advance(milliseconds(900));
    node->dispatcher->tick();
    LONGS_EQUAL(0, told(observation_kind::late));
    node->clock.advance(milliseconds(200));
    node->dispatcher->tick();
    node->dispatcher->tick();
    LONGS_EQUAL(1, told(observation_kind::late));
}

// Guards against shares that differ from the weights.
TEST(spell, split_follows_the_weights) {
    config::route route;
    route.split = {{service_name("a"), 0}, {service_name("b"), 900}, {service_name("c"), 100}};
    STRCMP_EQUAL("b", dispatch::choose_service(route, 0.0).value.c_str());
    STRCMP_EQUAL("b", dispatch::choose_service(route, 0.899).value.c_str());
    STRCMP_EQUAL("c", dispatch::choose_service(route, 0.901).value.c_str());
    route.split.clear();
    route.service = service_name("d");
    STRCMP_EQUAL("d", dispatch::choose_service(route, 0.5).value.c_str());
}

// Guards against sheds beyond the budget of the fleet: each arrival that a target rejects counts.
TEST(spell, strict_budget_refuses_a_shed_request_at_once) {
    dispatch::moment at{instant{} + seconds(100), wall_time{} + seconds(100)};
    dispatch::decision_core core({"10.1.0.1", 80}, 7, at,
                                 {.shed_may_wait = false, .retries = {0.1, 0.0, 1.0}},
                                 node->random);
    core.set_view(test::make_view(snapshot), std::make_shared<routing::route_table>(snapshot),
                  at.now);
    auto request = node->request("GET", "/stock");
    request.arrived = at.now;
    request.deadline = at.now + seconds(10);
    core.begin(request, at);
    for (int i = 0; i < 2; ++i) {
        CHECK(core.poll(request.id, at)->kind == step_kind::send);
        CHECK(core.may_send(request.id, at));
        CHECK(core.ended(request.id, node->attempt(answer_kind::shed), at));
    }
    const auto step = core.poll(request.id, at);
    CHECK(step->kind == step_kind::refuse);
    CHECK(step->reason.result == traffic::outcome::not_run);
}
