#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using health::answer_kind;
using traffic::step_kind;

TEST_GROUP(placement) {
    test::dispatcher_fixture one{test::make_snapshot(1, 1)};
    test::dispatcher_fixture two{test::make_snapshot(2, 1)};
};

// Guards against sending a request without reporting its decision and answer, and against not
// releasing its target.
TEST(placement, request_is_sent_reported_and_released) {
    auto& d = *one.dispatcher;
    const auto request = one.request("GET", "/stock");
    const auto step = d.first_step(request);
    CHECK(step.kind == step_kind::send);
    STRCMP_EQUAL("t0", step.target.value.c_str());
    CHECK_TRUE(d.may_send(request));
    CHECK_EQUAL(1U, d.outstanding().size());
    CHECK_FALSE(d.on_attempt_ended(request, one.attempt(answer_kind::ok)).has_value());
    CHECK_EQUAL(0U, d.outstanding().size());
    d.finish_request(request, true, nullptr);
    CHECK_EQUAL(0U, d.active());
    CHECK_EQUAL(1U, one.sink.answers.size());
    CHECK_EQUAL(1U, one.sink.decisions.size());
    STRCMP_EQUAL("read", one.sink.decisions.front().route.value.c_str());
}

// Guards against a lost wake-up: a queued request must get the slot that another request frees.
TEST(placement, queued_request_gets_the_freed_slot) {
    auto& d = *one.dispatcher;
    const auto holder = one.request("GET", "/a");
    CHECK(d.first_step(holder).kind == step_kind::send);
    const auto waiter = one.request("GET", "/b");
    traffic::step step;
    std::thread thread([&] { step = d.first_step(waiter); });
    while (d.waiting() == 0) {
        std::this_thread::yield();
    }
    d.finish_request(holder, true, nullptr);
    thread.join();
    CHECK(step.kind == step_kind::send);
    d.finish_request(waiter, true, nullptr);
    CHECK_EQUAL(0U, d.active());
}

// Guards against letting a request wait past its deadline, and against a wrong outcome in the
// refusal.
TEST(placement, request_that_expires_in_the_queue_is_refused_as_not_run) {
    auto& d = *one.dispatcher;
    const auto holder = one.request("GET", "/a");
    CHECK(d.first_step(holder).kind == step_kind::send);
    const auto waiter = one.request("GET", "/b");
    traffic::step step;
    std::thread thread([&] { step = d.first_step(waiter); });
    while (d.waiting() == 0) {
        std::this_thread::yield();
    }
    one.clock.advance(seconds(10));
    d.tick();
    thread.join();
    CHECK(step.kind == step_kind::refuse);
    STRCMP_EQUAL("deadline-passed", step.reason.type.c_str());
    CHECK(step.reason.result == traffic::outcome::not_run);
}

// Guards against leaving waiting callers without an answer at a planned stop.
TEST(placement, stop_refuses_queued_requests_as_not_run) {
    auto& d = *one.dispatcher;
    const auto holder = one.request("GET", "/a");
    CHECK(d.first_step(holder).kind == step_kind::send);
    const auto waiter = one.request("GET", "/b");
    traffic::step step;
    std::thread thread([&] { step = d.first_step(waiter); });
    while (d.waiting() == 0) {
        std::this_thread::yield();
    }
    d.stop();
    thread.join();
    STRCMP_EQUAL("stopping", step.reason.type.c_str());
    CHECK(step.reason.result == traffic::outcome::not_run);
    // The request that the target is running continues.
    CHECK_TRUE(d.may_send(holder));
    CHECK_FALSE(d.on_attempt_ended(holder, one.attempt(answer_kind::ok)).has_value());
}

// Guards against sending new requests to a target that reported that it is draining, or that is not
// in the view.
TEST(placement, draining_and_removed_targets_get_no_new_requests) {
    auto& d = *two.dispatcher;
    const auto first = two.request("GET", "/a");
    const auto gone = d.first_step(first).target;
    auto answer = two.attempt(answer_kind::ok);
    answer.draining = true;
    CHECK_FALSE(d.on_attempt_ended(first, answer).has_value());
    d.finish_request(first, true, nullptr);
    for (int i = 0; i < 20; ++i) {
        const auto next = two.request("GET", "/a");
        CHECK(d.first_step(next).target != gone);
        d.finish_request(next, true, nullptr);
    }
    d.set_view(test::make_view(two.snapshot, {"t0", "t1"}));
    const auto late = two.request("GET", "/a");
    STRCMP_EQUAL("no-target", d.first_step(late).reason.type.c_str());
}

// Guards against targets that get nothing because all nodes of their failure domain have stopped:
// at low load, the nodes of the other domains always found a free target of their own domain.
TEST(placement, targets_of_another_domain_get_requests_at_low_load) {
    auto snapshot = test::make_snapshot(10, 6);
    for (std::size_t i = 0; i < 10; ++i) {
        snapshot->services.at(0).targets.at(i).domain = domain_name(i < 6 ? "d1" : "d2");
    }
    test::dispatcher_fixture it(snapshot);
    it.options.core.own_domain = domain_name("d1");
    it.options.core.make_policy = [] { return std::make_unique<routing::least_cost>(); };
    dispatch::request_dispatcher d(it.options, it.clock, it.random, it.sink);
    d.set_view(test::make_view(snapshot));
    std::map<std::string, int> requests;
    for (int i = 0; i < 100; ++i) {
        const auto request = it.request("GET", "/a");
        ++requests[d.first_step(request).target.value];
        d.finish_request(request, true, nullptr);
    }
    LONGS_EQUAL(10, requests.size());
}

// Guards against a message to every node for each request in a large fleet, where the counts would
// use most of the processor time and arrive too late. They go to the nodes of the group only, whose
// number doesn't grow with the fleet.
TEST(placement, counts_are_published_to_a_bounded_number_of_nodes) {
    test::dispatcher_fixture it(test::make_snapshot(2, 6));
    it.options.core.publish_outstanding = true;
    dispatch::request_dispatcher d(it.options, it.clock, it.random, it.sink);
    d.set_view(test::make_view(it.snapshot));
    const auto send_one = [&] {
        const auto request = it.request("GET", "/a");
        CHECK(d.first_step(request).kind == step_kind::send);
        d.finish_request(request, true, nullptr);
    };
    send_one(); // without a group, nobody needs the counts
    LONGS_EQUAL(0, it.sink.observations.size());
    std::vector<node_id> fleet(3'700);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet[i] = node_id("node-" + std::to_string(i));
    }
    const auto group = routing::choose_node_group(fleet.front(), fleet);
    CHECK(group.others.size() < 48);
    d.set_group(group.position);
    send_one();
    LONGS_EQUAL(2, it.sink.observations.size());
}

// Guards against healthy capacity that an old verdict keeps out of use while many requests fail: a
// target that the floor keeps in use has a low weight, and at low load any other target was
// cheaper.
TEST(placement, kept_targets_get_requests_while_many_fail) {
    auto snapshot = test::make_snapshot(10, 6);
    test::dispatcher_fixture it(snapshot);
    it.options.core.make_policy = [] { return std::make_unique<routing::least_cost>(); };
    dispatch::request_dispatcher d(it.options, it.clock, it.random, it.sink);
    auto view = std::make_shared<routing::view>(*test::make_view(snapshot));
    for (std::size_t i = 0; i < 3; ++i) {
        view->services.front().eligible.at(i).weight = health::ejection_policy::kept_weight;
    }
    d.set_view(view);
    std::map<std::string, int> requests;
    for (int i = 0; i < 1'000; ++i) {
        const auto request = it.request("GET", "/a");
        ++requests[d.first_step(request).target.value];
        d.finish_request(request, true, nullptr);
        if (i % 5 == 0) {
            d.on_peer_observation({service_name("print"), target_id("t9"),
                                   health::observation_kind::failed, -1, node_id("a")});
        }
        it.clock.advance(milliseconds(100));
    }
    // Half of an even share, since the choice is random.
    for (const auto* id : {"t0", "t1", "t2"}) {
        CHECK_TEXT(requests[id] >= 50, id);
    }
}
