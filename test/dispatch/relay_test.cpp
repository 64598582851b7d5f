#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using health::answer_kind;
using traffic::outcome;
using traffic::step_kind;

TEST_GROUP(relay) {
    std::shared_ptr<config::snapshot> snapshot = test::make_snapshot(10, 2);
    test::dispatcher_fixture node{snapshot};
    dispatch::clock_reading at{instant{} + seconds(100), wall_time{} + seconds(1'000'000)};
    dispatch::decision_core core{{"10.1.0.1", 80}, 7, at, {}, node.random};
    const std::vector<endpoint> others{{"10.1.0.2", 80}, {"10.1.0.3", 80}};

    void setup() override {
        snapshot->routes[1].key = config::key_policy::optional;
        core.set_view(test::make_view(snapshot), std::make_shared<routing::route_table>(snapshot),
                      at.now);
        core.set_relays({{others[0], true}, {others[1], true}});
    }
    traffic::request_info begin(const char* path, bool from_node = false) {
        auto request = node.request("GET", path);
        request.sender =
            from_node ? traffic::request_sender::node : traffic::request_sender::caller;
        request.arrived = at.now;
        request.deadline = at.now + seconds(10);
        core.begin_request(request, at);
        return request;
    }
    traffic::step poll(const traffic::request_info& request) {
        auto next = core.poll(request.id, at);
        CHECK_TRUE(next.has_value());
        return next.value_or(traffic::step{});
    }
    void fail(const traffic::request_info& request, answer_kind kind, bool sent) {
        CHECK_TRUE(core.on_attempt_ended(request.id, node.attempt(kind, sent), at));
    }
    // Makes the node find out that it reaches no target.
    void cut_off() {
        for (int i = 0; i < 10; ++i) {
            core.on_connection_check(
                {service_name("print"), target_id("t" + std::to_string(i)), {}}, false, at.now);
        }
        CHECK_TRUE(core.is_cut_off());
    }
    bool is_relayed(const traffic::step& step) const {
        return step.kind == step_kind::forward &&
               std::ranges::find(others, step.address) != others.end();
    }
};

// Guards against refusing the callers of a node that has lost its links to the targets.
TEST(relay, other_nodes_get_the_requests_of_a_node_that_is_cut_off) {
    cut_off();
    for (const char* path : {"/stock", "/runs/1"}) {
        const auto request = begin(path);
        CHECK(is_relayed(poll(request)));
        CHECK_TRUE(core.may_send(request.id, at));
        CHECK_FALSE(core.may_retry_elsewhere(request.id, at.now));
        CHECK_FALSE(core.on_attempt_ended(request.id, node.attempt(answer_kind::ok), at));
        core.finish_request(request.id, true, nullptr, at);
    }
}

// Guards against a request that tries one unreachable target after another before the node knows
// that it is cut off.
TEST(relay, request_is_passed_on_after_three_failed_connections) {
    const auto request = begin("/runs/1");
    for (int i = 0; i < 3; ++i) {
        CHECK(poll(request).kind == step_kind::send);
        fail(request, answer_kind::connect_failed, false);
    }
    CHECK(is_relayed(poll(request)));
}

// Guards against requests that nodes pass to each other without end.
TEST(relay, passed_on_request_is_not_passed_on_again) {
    cut_off();
    const auto refused = poll(begin("/stock", true));
    CHECK(refused.kind == step_kind::refuse);
    CHECK(refused.reason.result == outcome::not_run);
    core.on_connection_check({service_name("print"), target_id("t1"), {}}, true, at.now);
    const auto request = begin("/stock", true);
    for (int i = 0; i < 8; ++i) {
        CHECK(poll(request).kind == step_kind::send);
        fail(request, answer_kind::connect_failed, false);
    }
    CHECK(poll(request).kind == step_kind::refuse);
}

// Guards against running a request at another node that a target or node may have run already.
TEST(relay, request_that_may_have_run_is_not_passed_on) {
    const auto order = begin("/runs/1");
    CHECK(poll(order).kind == step_kind::send);
    CHECK_TRUE(core.may_send(order.id, at));
    cut_off();
    fail(order, answer_kind::connection_lost, true);
    CHECK(poll(order).reason.result == outcome::unknown);
    for (const char* path : {"/stock", "/runs/2"}) {
        const auto request = begin(path);
        CHECK(is_relayed(poll(request)));
        fail(request, answer_kind::connection_lost, true);
        const auto refused = poll(request);
        CHECK(refused.kind == step_kind::refuse);
        CHECK(refused.reason.result == outcome::unknown);
    }
}

// Guards against refusing a request because the first node that it is passed to is gone.
TEST(relay, another_node_is_tried_when_one_cannot_be_reached) {
    cut_off();
    const auto request = begin("/runs/1");
    const auto first = poll(request);
    fail(request, answer_kind::connect_failed, false);
    const auto second = poll(request);
    CHECK(is_relayed(first) && is_relayed(second));
    CHECK(first.address != second.address);
    fail(request, answer_kind::connect_failed, false);
    const auto refused = poll(request);
    CHECK(refused.kind == step_kind::refuse);
    CHECK(refused.reason.result == outcome::not_run);
    CHECK_TRUE(refused.reason.retry_after.has_value());
}

// Guards against refusing requests without a try when no other node reaches targets either.
TEST(relay, targets_are_tried_when_no_other_node_can_serve) {
    core.set_relays({});
    cut_off();
    CHECK(poll(begin("/stock")).kind == step_kind::send);
}

// Guards against running a request with a key that this node owns at another node.
TEST(relay, request_whose_key_this_node_owns_is_not_passed_on) {
    cut_off();
    auto order = node.request("POST", "/runs/1", core.issue_key(at.now));
    order.deadline = at.now + seconds(10);
    core.begin_request(order, at);
    CHECK(poll(order).kind == step_kind::send);
}

// Guards against connections that are tried while targets are reached, and against a node that
// doesn't notice that it reaches them again.
TEST(relay, connections_are_tried_while_the_node_is_cut_off) {
    CHECK_TRUE(core.connection_checks(at.now).empty());
    cut_off();
    const auto checks = core.connection_checks(at.now);
    CHECK_FALSE(checks.empty());
    CHECK_TRUE(core.connection_checks(at.now).empty());
    at.now += milliseconds(250);
    CHECK_FALSE(core.connection_checks(at.now).empty());
    core.on_connection_check(checks.front(), true, at.now);
    CHECK_FALSE(core.is_cut_off());
    CHECK(poll(begin("/stock")).kind == step_kind::send);
}

// Guards against requests that wait for a free slot of targets that are out of reach.
TEST(relay, waiting_requests_are_passed_on) {
    std::vector<traffic::request_info> running;
    while (core.waiting() == 0) {
        running.push_back(begin("/stock"));
    }
    CHECK_FALSE(core.poll(running.back().id, at).has_value());
    cut_off();
    core.tick(at.now);
    CHECK(is_relayed(poll(running.back())));
}

// Guards against a 401, 403 or 404 to a caller whose request this node allows, because a node that
// it passes the request to has other rules or doesn't know the sender (review/13, DENIED).
TEST(relay, refusal_by_the_rules_of_another_node_is_no_answer_to_the_caller) {
    cut_off();
    for (const int status : {401, 403, 404, 405}) {
        const auto request = begin("/runs/1");
        const auto refused_at = [&] {
            auto attempt = node.attempt(answer_kind::ok);
            attempt.status = status;
            attempt.node_refusal = outcome::not_run;
            const auto step = poll(request);
            CHECK(is_relayed(step));
            CHECK_TRUE(core.on_attempt_ended(request.id, attempt, at));
            return step.address;
        };
        const auto first = refused_at();
        CHECK(first != refused_at());
        const auto refused = poll(request);
        STRCMP_EQUAL("nodes-disagree", refused.reason.type.c_str());
        LONGS_EQUAL(503, refused.reason.status);
        CHECK(refused.reason.result == outcome::not_run);
        CHECK_TRUE(refused.reason.retry_after.has_value());
        core.finish_request(request.id, true, nullptr, at);
    }
}

// Guards against keeping answers of targets, and refusals for lack of room, from callers.
TEST(relay, other_answers_through_another_node_are_passed_on) {
    cut_off();
    const auto is_passed_on = [&](int status, std::optional<outcome> node_refusal) {
        const auto request = begin("/stock");
        CHECK(is_relayed(poll(request)));
        auto attempt = node.attempt(answer_kind::ok);
        attempt.status = status;
        attempt.node_refusal = node_refusal;
        const bool ends = !core.on_attempt_ended(request.id, attempt, at);
        core.finish_request(request.id, true, nullptr, at);
        return ends;
    };
    CHECK(is_passed_on(404, std::nullopt));
    CHECK(is_passed_on(429, outcome::not_run));
    CHECK(is_passed_on(503, outcome::not_run));
    CHECK(is_passed_on(409, outcome::unknown));
}

// Guards against a status that promises that an order didn't run, when a node of an older build
// passes it on from a target (review/14, REFUSED).
TEST(relay, promise_of_a_target_through_another_node_needs_a_proof) {
    cut_off();
    const auto request = begin("/runs/1");
    CHECK(is_relayed(poll(request)));
    auto attempt = node.attempt(answer_kind::server_error);
    attempt.status = 503;
    CHECK_TRUE(core.on_attempt_ended(request.id, attempt, at));
    const auto refused = poll(request);
    STRCMP_EQUAL("unproven-status", refused.reason.type.c_str());
    CHECK(refused.reason.result == outcome::unknown);
}

// Guards against telling the caller that the deadline passed when crash marks arrive before a
// request is passed on.
TEST(relay, request_blocked_by_crash_marks_is_not_passed_on) {
    cut_off();
    const auto request = begin("/poison");
    CHECK(is_relayed(poll(request)));
    const auto fingerprint = dispatch::request_fingerprint(request, {});
    core.add_crash_mark({fingerprint, target_id("t0"), at.wall}, at);
    core.add_crash_mark({fingerprint, target_id("t1"), at.wall}, at);
    CHECK_FALSE(core.may_send(request.id, at));
    fail(request, answer_kind::cancelled, false);
    const auto refused = poll(request);
    STRCMP_EQUAL("contained", refused.reason.type.c_str());
    CHECK(refused.reason.result == outcome::not_run);
}
