#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using health::answer_kind;
using traffic::step_kind;

// Decides about requests whose targets were silent. Another target answers meanwhile.
TEST_GROUP(crash_silence) {
    test::dispatcher_fixture node{test::make_snapshot(4, 8)};
    dispatch::request_dispatcher& d = *node.dispatcher;

    // Sends a request. Returns the target that gets it.
    target_id place(const traffic::request_info& request) {
        const auto step = d.first_step(request);
        CHECK(step.kind == step_kind::send);
        CHECK_TRUE(d.may_send(request));
        return step.target;
    }
    // Another target than this one answers.
    void answer_of_other(const target_id& target) {
        for (int i = 0; i < 50; ++i) {
            const auto request = node.request("GET", "/ok");
            const auto chosen = place(request);
            const bool answers = chosen != target;
            static_cast<void>(d.on_attempt_ended(
                request, node.attempt(answers ? answer_kind::ok : answer_kind::cancelled)));
            d.finish_request(request, answers, nullptr);
            if (answers) {
                return;
            }
        }
        FAIL("no other target was chosen");
    }
    // Waits for 3 s in which a target takes no connections.
    traffic::silence silence_of(const target_id& target, bool others_answer = true) {
        node.clock.advance(seconds(1));
        const auto from = node.clock.now();
        node.clock.advance(seconds(1));
        if (others_answer) {
            answer_of_other(target);
        }
        node.clock.advance(seconds(1));
        return {from, node.clock.now()};
    }
};

// Guards against a request that crashes one target after another, because a machine that lost its
// power is up again when its old connections are reset.
TEST(crash_silence, connection_lost_after_silence_marks_the_request) {
    auto poison = node.request("GET", "/poison");
    poison.body_replayable = false; // A retry would wait, and the clock stands still.
    const auto target = place(poison);
    auto lost = node.attempt(answer_kind::connection_lost);
    lost.silent = silence_of(target);
    lost.target_is_up = true;
    static_cast<void>(d.on_attempt_ended(poison, lost));
    LONGS_EQUAL(1, node.sink.marks.size());
    CHECK(node.sink.marks.at(0).target == target);
    d.finish_request(poison, false, nullptr);
}

// Guards against forgetting an attempt that was given up before its target was known to be dead.
TEST(crash_silence, connections_lost_after_the_requests_ended_block_the_request) {
    for (int i = 0; i < 2; ++i) {
        const auto poison = node.request("GET", "/poison");
        const auto target = place(poison);
        static_cast<void>(d.on_attempt_ended(poison, node.attempt(answer_kind::cancelled)));
        d.finish_request(poison, false, nullptr);
        const auto silent = silence_of(target);
        d.on_abandoned_connection_lost(poison, target_id("dead" + std::to_string(i)), silent);
    }
    LONGS_EQUAL(2, node.sink.marks.size());
    STRCMP_EQUAL("contained", d.first_step(node.request("GET", "/poison")).reason.type.c_str());
    CHECK(d.first_step(node.request("GET", "/other")).kind == step_kind::send);
}

// Guards against blocking harmless requests because this node was cut off for a while.
TEST(crash_silence, node_that_hears_no_target_marks_nothing) {
    const auto request = node.request("GET", "/popular");
    const auto target = place(request);
    auto lost = node.attempt(answer_kind::connection_lost);
    lost.silent = silence_of(target, false);
    lost.target_is_up = true;
    static_cast<void>(d.on_attempt_ended(request, lost));
    d.finish_request(request, false, nullptr);
    d.on_abandoned_connection_lost(request, target, *lost.silent);
    LONGS_EQUAL(0, node.sink.marks.size());
}

// Guards against blocking harmless requests because of the link between this node and a target that
// other nodes reach.
TEST(crash_silence, target_that_answers_another_node_makes_no_mark) {
    const auto request = node.request("GET", "/popular");
    const auto target = place(request);
    auto lost = node.attempt(answer_kind::connection_lost);
    lost.silent = silence_of(target);
    node.clock.advance(milliseconds(-500));
    d.on_peer_observation(
        {service_name("print"), target, health::observation_kind::good, -1, node_id("peer")});
    node.clock.advance(milliseconds(500));
    lost.target_is_up = true;
    static_cast<void>(d.on_attempt_ended(request, lost));
    d.finish_request(request, false, nullptr);
    LONGS_EQUAL(0, node.sink.marks.size());
}

// Guards against blocking a harmless request that was in flight at a target that crashed for
// another reason: another target has answered it since.
TEST(crash_silence, request_that_succeeded_since_the_crash_gets_no_mark) {
    const auto request = node.request("GET", "/popular");
    const auto target = place(request);
    static_cast<void>(d.on_attempt_ended(request, node.attempt(answer_kind::cancelled)));
    d.finish_request(request, false, nullptr);
    const auto silent = silence_of(target);
    const auto again = node.request("GET", "/popular");
    static_cast<void>(place(again));
    static_cast<void>(d.on_attempt_ended(again, node.attempt(answer_kind::ok)));
    d.finish_request(again, true, nullptr);
    node.clock.advance(seconds(1));
    d.on_abandoned_connection_lost(request, target, silent);
    LONGS_EQUAL(0, node.sink.marks.size());
}
