#include "fixture.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using health::answer_kind;
using health::observation_kind;
using traffic::step_kind;

TEST_GROUP(failure_burst) {
    std::shared_ptr<config::snapshot> snapshot{test::make_snapshot(3, 2)};
    std::unique_ptr<test::dispatcher_fixture> node;

    void setup() override {
        snapshot->routes.at(1).key = config::key_policy::optional;
        snapshot->routes.at(0).attempts = 2;
        node = std::make_unique<test::dispatcher_fixture>(snapshot);
    }
    std::ptrdiff_t count_observations(observation_kind kind) {
        return std::ranges::count(node->sink.observations, kind, &health::observation::kind);
    }
    std::string send(const traffic::request_info& request) {
        const auto step = node->dispatcher->first_step(request);
        CHECK(step.kind == step_kind::send);
        CHECK(node->dispatcher->may_send(request));
        return step.target.value;
    }
    std::optional<traffic::step> end(const traffic::request_info& request, answer_kind kind) {
        auto next = node->dispatcher->on_attempt_ended(request, node->attempt(kind));
        if (!next) {
            node->dispatcher->finish_request(request, true, nullptr);
        }
        return next;
    }
};

// Guards against sending an at-most-once request to a target that just failed while others are
// free.
TEST(failure_burst, requests_avoid_a_target_that_failed) {
    const auto failed = node->request("POST", "/runs/1");
    const auto failing = send(failed);
    CHECK_FALSE(end(failed, answer_kind::server_error).has_value());
    for (int i = 0; i < 20; ++i) {
        const auto request = node->request("POST", "/runs/2");
        CHECK(send(request) != failing);
        CHECK_FALSE(end(request, answer_kind::ok).has_value());
    }
    LONGS_EQUAL(1, count_observations(observation_kind::failed));
}

// Guards against ignoring what other nodes observed, so that each node must see a failure itself.
TEST(failure_burst, observations_of_peers_count) {
    node->dispatcher->set_view(test::make_view(snapshot));
    CHECK_FALSE(
        send(node->request("POST", "/runs/0")).empty()); // creates the records of the targets
    node->dispatcher->on_peer_observation(
        {service_name("print"), target_id("t1"), observation_kind::failed});
    for (int i = 0; i < 20; ++i) {
        const auto request = node->request("POST", "/runs/1");
        CHECK(send(request) != "t1");
        CHECK_FALSE(end(request, answer_kind::ok).has_value());
    }
}

// Guards against trusting a failing target again because of a request that it had begun before it
// failed. Such answers arrive for as long as a request takes, and each one let further requests
// fail.
TEST(failure_burst, answer_to_an_earlier_request_is_no_sign_of_recovery) {
    const auto earlier = node->request("POST", "/runs/1");
    const auto failing = send(earlier);
    node->clock.advance(milliseconds(100));
    node->dispatcher->on_peer_observation(
        {service_name("print"), target_id(failing), observation_kind::failed, -1, {}});
    node->clock.advance(milliseconds(100));
    CHECK_FALSE(end(earlier, answer_kind::ok).has_value());
    for (int i = 0; i < 20; ++i) {
        const auto request = node->request("POST", "/runs/2");
        CHECK(send(request) != failing);
        CHECK_FALSE(end(request, answer_kind::ok).has_value());
    }
    LONGS_EQUAL(0, count_observations(observation_kind::good));
}

// Guards against refusing requests when every target is suspected. All targets must then stay in
// use.
TEST(failure_burst, requests_are_sent_when_all_targets_are_suspected) {
    CHECK_FALSE(send(node->request("POST", "/runs/0")).empty());
    for (const char* it : {"t0", "t1", "t2"}) {
        node->dispatcher->on_peer_observation(
            {service_name("print"), target_id(it), observation_kind::failed});
    }
    CHECK_FALSE(send(node->request("POST", "/runs/1")).empty());
}

// Guards against passing an error on to the caller of a repeatable request although another target
// is free.
TEST(failure_burst, repeatable_request_is_retried_at_another_target_after_an_error) {
    const auto request = node->request("GET", "/stock");
    const auto first = send(request);
    const auto next =
        node->dispatcher->on_attempt_ended(request, node->attempt(answer_kind::server_error));
    CHECK(next.has_value() && next->kind == step_kind::send);
    CHECK(next->target.value != first);
    CHECK(node->dispatcher->may_send(request));
    // The route allows two targets per request.
    CHECK_FALSE(end(request, answer_kind::server_error).has_value());
}

// Guards against running an at-most-once request twice because its first target answered with an
// error.
TEST(failure_burst, at_most_once_request_is_not_retried_after_an_error) {
    const auto request = node->request("POST", "/runs/1");
    CHECK_FALSE(send(request).empty());
    CHECK_FALSE(node->dispatcher->may_retry_elsewhere(request));
    CHECK_FALSE(end(request, answer_kind::server_error).has_value());
}

// Guards against giving up the attempt at a silent target when no other target can take the
// request. A stopping node once gave up requests that their targets were still running.
TEST(failure_burst, silent_attempt_is_given_up_only_when_another_target_is_free) {
    const auto request = node->request("GET", "/stock");
    const auto first = send(request);
    CHECK_FALSE(node->dispatcher->may_retry_elsewhere(request)); // not overdue yet
    node->clock.advance(std::chrono::milliseconds(5'100));
    CHECK(node->dispatcher->may_retry_elsewhere(request));
    for (const char* it : {"t0", "t1", "t2"}) {
        if (it != first) {
            node->dispatcher->on_peer_observation(
                {service_name("print"), target_id(it), observation_kind::failed});
        }
    }
    CHECK_FALSE(node->dispatcher->may_retry_elsewhere(request));
}

// Guards against all nodes trying a target again at once when it may have recovered.
TEST(failure_burst, target_that_may_have_recovered_gets_a_small_share) {
    CHECK_FALSE(send(node->request("POST", "/runs/0")).empty());
    node->dispatcher->on_peer_observation(
        {service_name("print"), target_id("t1"), observation_kind::failed});
    node->dispatcher->on_peer_observation(
        {service_name("print"), target_id("t1"), observation_kind::failed});
    node->clock.advance(seconds(5)); // its failure probability is now slightly below 0.5
    int tried = 0;
    for (int i = 0; i < 200; ++i) {
        const auto request = node->request("POST", "/runs/1");
        tried += send(request) == "t1" ? 1 : 0;
        // A cancelled request is no evidence about its target.
        CHECK(node->dispatcher->on_attempt_ended(request, node->attempt(answer_kind::cancelled))
                  .has_value());
        node->dispatcher->finish_request(request, false, nullptr);
    }
    CHECK(tried < 20);
}

// Guards against a target that gets nothing for 18 s after a verdict, because the policy treats a
// low weight as a cost. Trials of it must stay rare.
TEST(failure_burst, least_cost_tries_a_target_with_a_low_weight) {
    auto options = node->options;
    options.core.make_policy = [] { return std::make_unique<routing::least_cost>(); };
    dispatch::request_dispatcher dispatcher(options, node->clock, node->random, node->sink);
    auto view = std::make_shared<routing::view>(*test::make_view(snapshot));
    view->services.front().eligible.at(1).weight = 0.1;
    dispatcher.set_view(view);
    int tried = 0;
    for (int i = 0; i < 400; ++i) { // 10 s
        const auto request = node->request("POST", "/runs/1");
        tried += dispatcher.first_step(request).target.value == "t1" ? 1 : 0;
        CHECK(dispatcher.may_send(request));
        CHECK_FALSE(dispatcher.on_attempt_ended(request, node->attempt(answer_kind::ok)));
        dispatcher.finish_request(request, true, nullptr);
        node->clock.advance(milliseconds(25));
    }
    CHECK(tried >= 10);
    CHECK(tried <= 20);
}

// Guards against a hanging target that keeps getting requests until their deadlines pass.
TEST(failure_burst, overdue_answer_is_reported_as_late_once) {
    snapshot->routes.at(1).target_latency = seconds(1);
    const auto request = node->request("POST", "/runs/1");
    CHECK_FALSE(send(request).empty());
    node->clock.advance(milliseconds(900));
    node->dispatcher->tick();
    LONGS_EQUAL(0, count_observations(observation_kind::late));
    node->clock.advance(milliseconds(200));
    node->dispatcher->tick();
    node->dispatcher->tick();
    LONGS_EQUAL(1, count_observations(observation_kind::late));
}

// Guards against a traffic split that differs from the configured weights.
TEST(failure_burst, split_follows_the_weights) {
    config::route route;
    route.split = {{service_name("a"), 0}, {service_name("b"), 900}, {service_name("c"), 100}};
    STRCMP_EQUAL("b", dispatch::choose_service(route, 0.0).value.c_str());
    STRCMP_EQUAL("b", dispatch::choose_service(route, 0.899).value.c_str());
    STRCMP_EQUAL("c", dispatch::choose_service(route, 0.901).value.c_str());
    route.split.clear();
    route.service = service_name("d");
    STRCMP_EQUAL("d", dispatch::choose_service(route, 0.5).value.c_str());
}

// Guards against exceeding the retry budget of the fleet, where each request that a target sheds
// counts.
TEST(failure_burst, shed_request_without_budget_is_refused_when_it_may_not_wait) {
    dispatch::clock_reading at{instant{} + seconds(100), wall_time{} + seconds(100)};
    dispatch::decision_core core({"10.1.0.1", 80}, 7, at,
                                 {.shed_may_wait = false, .retries = {0.1, 0.0, 1.0}},
                                 node->random);
    core.set_view(test::make_view(snapshot), std::make_shared<routing::route_table>(snapshot),
                  at.now);
    auto request = node->request("GET", "/stock");
    request.arrived = at.now;
    request.deadline = at.now + seconds(10);
    core.begin_request(request, at);
    for (int i = 0; i < 2; ++i) {
        CHECK(core.poll(request.id, at)->kind == step_kind::send);
        CHECK(core.may_send(request.id, at));
        CHECK(core.on_attempt_ended(request.id, node->attempt(answer_kind::shed), at));
    }
    const auto step = core.poll(request.id, at);
    CHECK(step->kind == step_kind::refuse);
    CHECK(step->reason.result == traffic::outcome::not_run);
}
