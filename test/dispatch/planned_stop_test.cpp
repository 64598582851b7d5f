#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using health::answer_kind;
using traffic::step_kind;

TEST_GROUP(planned_stop) {
    std::shared_ptr<config::snapshot> snapshot;
    std::unique_ptr<test::dispatcher_fixture> node;

    void setup() override {
        snapshot = test::make_snapshot(3, 6);
        snapshot->routes.at(1).key = config::key_policy::optional;
        snapshot->routes.at(1).limits.total = seconds(30);
        node = std::make_unique<test::dispatcher_fixture>(snapshot);
    }
    // Lets the node learn that orders take one second.
    void learn_latency() {
        for (int i = 0; i < 20; ++i) {
            const auto request = node->request("POST", "/runs/1");
            CHECK(node->dispatcher->first_step(request).kind == step_kind::send);
            CHECK(node->dispatcher->may_send(request));
            const auto sent = node->clock.now();
            node->clock.advance(seconds(1));
            auto attempt = node->attempt(answer_kind::ok);
            attempt.sent = sent;
            CHECK_FALSE(node->dispatcher->on_attempt_ended(request, attempt));
            node->dispatcher->finish_request(request, true, nullptr);
        }
    }
};

// Guards against a stop that passes on requests which their targets can't answer in time.
TEST(planned_stop, request_that_may_outlast_the_stop_is_refused) {
    learn_latency();
    node->dispatcher->begin_stop(seconds(5), seconds(5));
    const auto early = node->request("POST", "/runs/1");
    CHECK(node->dispatcher->first_step(early).kind == step_kind::send);
    node->clock.advance(seconds(3));
    const auto step = node->dispatcher->first_step(node->request("POST", "/runs/1"));
    CHECK(step.kind == step_kind::refuse);
    LONGS_EQUAL(503, step.reason.status);
    CHECK(step.reason.result == traffic::outcome::not_run);
    CHECK(step.reason.retry_after.has_value());
}

// Guards against passing on requests of a route whose latencies differ much: the mean alone says
// that a long one ends in time.
TEST(planned_stop, longest_recent_latency_counts) {
    for (int i = 0; i < 20; ++i) {
        const auto request = node->request("POST", "/runs/1");
        CHECK(node->dispatcher->first_step(request).kind == step_kind::send);
        CHECK(node->dispatcher->may_send(request));
        const auto sent = node->clock.now();
        node->clock.advance(milliseconds(i == 5 ? 4'000 : 200));
        auto attempt = node->attempt(answer_kind::ok);
        attempt.sent = sent;
        CHECK_FALSE(node->dispatcher->on_attempt_ended(request, attempt));
        node->dispatcher->finish_request(request, true, nullptr);
    }
    node->dispatcher->begin_stop(seconds(3), seconds(3));
    CHECK(node->dispatcher->first_step(node->request("POST", "/runs/1")).kind == step_kind::refuse);
}

// Guards against cutting a request that takes longer than requests of its route did before: its
// target is told when the node ends, and its caller gets a final answer before.
TEST(planned_stop, deadline_of_a_late_request_is_before_the_end) {
    learn_latency();
    const auto before = node->dispatcher->first_step(node->request("POST", "/runs/1"));
    CHECK(before.deadline > node->clock.now() + seconds(8)); // that of the caller
    node->dispatcher->begin_stop(seconds(5), seconds(5));
    const auto end = node->clock.now() + seconds(5);
    node->clock.advance(seconds(2));
    const auto late = node->dispatcher->first_step(node->request("POST", "/runs/1"));
    CHECK(late.kind == step_kind::send);
    CHECK(late.deadline < end);
    CHECK(late.deadline > end - milliseconds(500));
}

// Guards against a refusal of requests that end in time because of their own deadline.
TEST(planned_stop, request_with_an_earlier_deadline_is_sent) {
    learn_latency();
    node->dispatcher->begin_stop(seconds(2), seconds(2));
    auto request = node->request("POST", "/runs/1");
    request.deadline = node->clock.now() + milliseconds(1'500);
    CHECK(node->dispatcher->first_step(request).kind == step_kind::send);
}

// Guards against placing requests of unknown latency late in a stop.
TEST(planned_stop, without_measured_latency_the_total_limit_counts) {
    snapshot->routes.at(1).limits.total = seconds(4);
    node->dispatcher->begin_stop(seconds(5), seconds(5));
    CHECK(node->dispatcher->first_step(node->request("POST", "/runs/1")).kind == step_kind::send);
    node->clock.advance(milliseconds(1'500));
    CHECK(node->dispatcher->first_step(node->request("POST", "/runs/1")).kind == step_kind::refuse);
}

// Guards against a retry that is sent too late after a target shed the request.
TEST(planned_stop, shed_request_is_not_sent_again_too_late) {
    learn_latency();
    node->dispatcher->begin_stop(seconds(3), seconds(3));
    const auto request = node->request("POST", "/runs/1");
    CHECK(node->dispatcher->first_step(request).kind == step_kind::send);
    CHECK(node->dispatcher->may_send(request));
    node->clock.advance(seconds(1));
    const auto next = node->dispatcher->on_attempt_ended(request, node->attempt(answer_kind::shed));
    CHECK(next.has_value() && next->kind == step_kind::refuse);
    CHECK(next->reason.result == traffic::outcome::not_run);
}

// Guards against a request that waits for a slot until it can't end in time any more.
TEST(planned_stop, waiting_request_is_refused_when_it_can_not_end_in_time) {
    dispatch::clock_reading at{instant{} + seconds(100), wall_time{} + seconds(100)};
    dispatch::core_options options;
    dispatch::decision_core core({"10.1.0.1", 80}, 7, at, options, node->random);
    const auto one_slot = test::make_snapshot(1, 1);
    one_slot->routes.at(1).key = config::key_policy::optional;
    one_slot->routes.at(1).limits.total = seconds(2);
    core.set_view(test::make_view(one_slot), std::make_shared<routing::route_table>(one_slot),
                  at.now);
    const auto begin = [&] {
        auto request = node->request("POST", "/runs/1");
        request.arrived = at.now;
        request.deadline = at.now + seconds(10);
        core.begin_request(request, at);
        return request.id;
    };
    const auto running = begin();
    CHECK(core.poll(running, at)->kind == step_kind::send);
    at.now += milliseconds(800);
    const auto waiting = begin();
    CHECK_FALSE(core.poll(waiting, at).has_value());
    core.begin_stop({at.now + milliseconds(1'900), at.now + milliseconds(1'900)}, at.now);
    const auto step = core.poll(waiting, at);
    CHECK(step.has_value() && step->kind == step_kind::refuse);
    CHECK(step->reason.result == traffic::outcome::not_run);
}

// Guards against passing on a request that comes long after the stop began: its target may hang,
// and then the node breaks it off at its end (LOST, inc1). The usual latency says nothing about
// that.
TEST(planned_stop, request_after_the_time_for_new_work_is_refused_at_once) {
    learn_latency();
    node->dispatcher->begin_stop(milliseconds(2'500), seconds(9));
    node->clock.advance(milliseconds(2'499));
    CHECK(node->dispatcher->first_step(node->request("POST", "/runs/1")).kind == step_kind::send);
    node->clock.advance(milliseconds(1));
    const auto late = node->dispatcher->first_step(node->request("POST", "/runs/1"));
    CHECK(late.kind == step_kind::refuse);
    LONGS_EQUAL(503, late.reason.status);
    CHECK(late.reason.result == traffic::outcome::not_run);
    CHECK(late.reason.retry_after.has_value());
}

// Guards against refusing a request late that waited for a slot: from the end of the time for new
// work on it can't be placed, so it is told at once.
TEST(planned_stop, waiting_request_is_refused_when_the_time_for_new_work_ends) {
    dispatch::clock_reading at{instant{} + seconds(100), wall_time{} + seconds(100)};
    dispatch::decision_core core({"10.1.0.1", 80}, 7, at, {}, node->random);
    const auto one_slot = test::make_snapshot(1, 1);
    one_slot->routes.at(1).key = config::key_policy::optional;
    one_slot->routes.at(1).limits.total = seconds(5);
    core.set_view(test::make_view(one_slot), std::make_shared<routing::route_table>(one_slot),
                  at.now);
    const auto begin = [&] {
        auto request = node->request("POST", "/runs/1");
        request.arrived = at.now;
        request.deadline = at.now + seconds(10);
        core.begin_request(request, at);
        return request.id;
    };
    CHECK(core.poll(begin(), at)->kind == step_kind::send);
    const auto waiting = begin();
    CHECK_FALSE(core.poll(waiting, at).has_value());
    core.begin_stop({at.now + milliseconds(2'500), at.now + seconds(9)}, at.now);
    CHECK_FALSE(core.poll(waiting, at).has_value());
    at.now += milliseconds(2'500);
    core.tick(at.now);
    const auto step = core.poll(waiting, at);
    CHECK(step.has_value() && step->kind == step_kind::refuse);
    CHECK(step->reason.result == traffic::outcome::not_run);
}

// Guards against giving up a request that was taken in time because its first target failed later.
TEST(planned_stop, request_that_was_taken_in_time_is_repeated_after_it) {
    learn_latency();
    node->dispatcher->begin_stop(milliseconds(2'500), seconds(9));
    const auto request = node->request("POST", "/runs/1");
    CHECK(node->dispatcher->first_step(request).kind == step_kind::send);
    CHECK(node->dispatcher->may_send(request));
    node->clock.advance(seconds(3));
    const auto next = node->dispatcher->on_attempt_ended(request, node->attempt(answer_kind::shed));
    CHECK(next.has_value() && next->kind == step_kind::send);
}

// Guards against breaking off a request at a target that is at work, in a planned stop that leaves
// no time or no target for another attempt: its caller gets a refusal in the target's place (LOST,
// inc1). An answer may still come.
TEST(planned_stop, silent_target_is_waited_for) {
    learn_latency();
    const auto request = node->request("GET", "/stock/1");
    CHECK(node->dispatcher->first_step(request).kind == step_kind::send);
    CHECK(node->dispatcher->may_send(request));
    node->clock.advance(seconds(6));
    CHECK(node->dispatcher->may_retry_elsewhere(request));
    node->dispatcher->begin_stop(milliseconds(2'500), seconds(9));
    CHECK_FALSE(node->dispatcher->may_retry_elsewhere(request));
}

// Guards against replacing a target's error by a refusal of the node, when a planned stop leaves no
// time to repeat the request at another target.
TEST(planned_stop, server_error_is_passed_on_if_there_is_no_time_to_repeat) {
    const auto request = node->request("GET", "/stock/1");
    CHECK(node->dispatcher->first_step(request).kind == step_kind::send);
    CHECK(node->dispatcher->may_send(request));
    node->dispatcher->begin_stop(milliseconds(2'500), seconds(5));
    CHECK_FALSE(
        node->dispatcher->on_attempt_ended(request, node->attempt(answer_kind::server_error)));
}
