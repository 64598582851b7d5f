#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using health::answer_kind;
using traffic::outcome;
using traffic::step_kind;

TEST_GROUP(retry) {
    test::dispatcher_fixture node{test::make_snapshot(3, 2)};
    dispatch::request_dispatcher& d = *node.dispatcher;

    std::optional<traffic::step> lose(const traffic::request_info& request, bool passed = false) {
        CHECK_TRUE(d.may_send(request));
        auto attempt = node.attempt(answer_kind::connection_lost);
        attempt.answer_partly_sent = passed;
        attempt.target_is_up = true;
        return d.on_attempt_ended(request, attempt);
    }
};

// Guards against giving up an idempotent request after one lost connection, and against more than 2
// attempts.
TEST(retry, idempotent_request_is_sent_again_once_after_a_lost_connection) {
    const auto request = node.request("GET", "/stock");
    const auto first = d.first_step(request);
    const auto second = lose(request);
    CHECK(second->kind == step_kind::send);
    CHECK(second->target != first.target);
    const auto third = lose(request);
    CHECK(third->kind == step_kind::refuse);
    CHECK(third->reason.result == outcome::unknown);
}

// Guards against a second attempt at the target that just failed.
TEST(retry, second_attempt_goes_to_another_target) {
    for (int i = 0; i < 8; ++i) {
        const auto request = node.request("GET", ("/" + std::to_string(i)).c_str());
        const auto first = d.first_step(request).target;
        CHECK(lose(request)->target != first);
        CHECK_FALSE(d.on_attempt_ended(request, node.attempt(answer_kind::ok)).has_value());
        d.finish_request(request, true, nullptr);
    }
}

// Guards against a second attempt at a target that left the service while the first attempt ran, on
// a node that got no other request for the service in between.
TEST(retry, second_attempt_uses_the_newest_view) {
    for (const auto kind : {answer_kind::connection_lost, answer_kind::silent, answer_kind::shed,
                            answer_kind::server_error}) {
        for (int i = 0; i < 4; ++i) {
            d.set_view(test::make_view(node.snapshot));
            const auto request = node.request("GET", ("/" + std::to_string(i)).c_str());
            const auto first = d.first_step(request).target;
            CHECK_TRUE(d.may_send(request));
            const std::string left = first.value == "t0" ? "t1" : "t0";
            d.set_view(test::make_view(node.snapshot, {left}));
            auto ended = node.attempt(kind);
            ended.target_is_up = true;
            const auto second = d.on_attempt_ended(request, ended);
            CHECK(second.has_value() && second->kind == step_kind::send);
            CHECK(second->target.value != left);
            CHECK(second->target != first);
            d.finish_request(request, true, nullptr);
            node.clock.advance(std::chrono::minutes(1));
        }
    }
}

// Guards against a second attempt after the service itself was removed.
TEST(retry, no_second_attempt_at_a_removed_service) {
    const auto request = node.request("GET", "/stock");
    CHECK(d.first_step(request).kind == step_kind::send);
    auto without_services = std::make_shared<config::snapshot>(*node.snapshot);
    without_services->services.clear();
    d.set_view(test::make_view(without_services));
    CHECK(lose(request)->kind == step_kind::refuse);
}

// Guards against appending a second answer to a part of the first, and against sending an
// incomplete body.
TEST(retry, no_retry_after_answer_bytes_or_without_the_body) {
    const auto passed = node.request("GET", "/stock");
    CHECK(d.first_step(passed).kind == step_kind::send);
    CHECK(lose(passed, true)->kind == step_kind::refuse);
    auto streamed = node.request("PUT", "/stock");
    streamed.body_replayable = false;
    CHECK(d.first_step(streamed).kind == step_kind::send);
    CHECK(lose(streamed)->kind == step_kind::refuse);
}

// Guards against a broken answer, such as one with status 000, that is no evidence against its
// target, or whose request is said not to have run.
TEST(retry, malformed_answer_counts_against_its_target) {
    const auto request = node.request("POST", "/runs", "k");
    const auto first = d.first_step(request);
    CHECK_TRUE(d.may_send(request));
    const auto next = d.on_attempt_ended(request, node.attempt(answer_kind::malformed));
    CHECK(next->kind == step_kind::refuse);
    CHECK(next->reason.result == outcome::unknown);
    CHECK_FALSE(traffic::implies_not_run(
        traffic::status_for_outcome(next->reason.status, next->reason.result)));
    d.finish_request(request, true, nullptr);
    CHECK_EQUAL(1U, node.sink.answers.size());
    CHECK(node.sink.answers.front().kind == answer_kind::malformed);
    CHECK(node.sink.answers.front().target == first.target);
}

// Guards against retries that overload a service in which every request fails.
TEST(retry, retries_stop_when_the_budget_is_used_up) {
    int retries = 0;
    for (int i = 0; i < 100; ++i) {
        auto request = node.request("GET", ("/" + std::to_string(i)).c_str());
        CHECK(d.first_step(request).kind == step_kind::send);
        CHECK_TRUE(d.may_send(request));
        const auto next = d.on_attempt_ended(request, node.attempt(answer_kind::malformed));
        retries += next->kind == step_kind::send ? 1 : 0;
        d.finish_request(request, true, nullptr);
    }
    // The initial balance of 10, and 10% of 100 requests.
    CHECK(retries >= 18 && retries <= 20);
}

// Guards against refusing a shed request during a short overload because the retry budget is used
// up, and against sending it again at once without budget.
TEST(retry, shed_request_without_budget_waits) {
    const auto snapshot = test::make_snapshot(40, 1);
    dispatch::clock_reading at{instant{} + seconds(100), wall_time{} + seconds(100)};
    dispatch::decision_core core(
        {"10.1.0.1", 80}, 7, at,
        {.make_policy = [] { return std::make_unique<routing::round_robin>(); }}, node.random);
    core.set_view(test::make_view(snapshot), std::make_shared<routing::route_table>(snapshot),
                  at.now);
    auto request = node.request("GET", "/stock");
    request.arrived = at.now;
    request.deadline = at.now + seconds(10);
    int sends = 0;
    bool waits = false;
    for (; !waits; ++request.id) {
        core.begin_request(request, at);
        for (int i = 0; i < 5 && core.poll(request.id, at).has_value(); ++i) {
            ++sends;
            CHECK_TRUE(core.may_send(request.id, at));
            CHECK_TRUE(core.on_attempt_ended(request.id, node.attempt(answer_kind::shed), at));
            waits = core.waiting() > 0;
        }
    }
    --request.id;
    CHECK_EQUAL(11, sends); // the first send and 10 retries of the initial balance; then it waits
    at.now += milliseconds(9);
    CHECK_FALSE(core.poll(request.id, at).has_value());
    at.now += milliseconds(500);
    CHECK(core.poll(request.id, at)->kind == step_kind::send);
}

// Guards against accepting a request that crashed targets when other nodes sent it.
TEST(retry, crash_marks_of_peers_count) {
    const auto poison = node.request("GET", "/poison");
    const auto fingerprint = dispatch::request_fingerprint(poison, {});
    d.add_crash_mark({fingerprint, target_id("t0"), node.clock.wall_now()});
    d.add_crash_mark({fingerprint, target_id("t1"), node.clock.wall_now()});
    STRCMP_EQUAL("contained", d.first_step(poison).reason.type.c_str());
}

// Guards against forgetting crash marks because a sick target answers the request with an error
// before it runs it.
TEST(retry, error_answer_does_not_take_crash_marks_back) {
    const auto poison = node.request("GET", "/poison");
    const auto fingerprint = dispatch::request_fingerprint(poison, {});
    CHECK(d.first_step(poison).kind == step_kind::send);
    d.add_crash_mark({fingerprint, target_id("t0"), node.clock.wall_now()});
    d.add_crash_mark({fingerprint, target_id("t1"), node.clock.wall_now()});
    static_cast<void>(d.on_attempt_ended(poison, node.attempt(answer_kind::server_error)));
    d.finish_request(poison, true, nullptr);
    STRCMP_EQUAL("contained", d.first_step(node.request("GET", "/poison")).reason.type.c_str());
}

// Guards against blocking a harmless request for all callers because its connections were reset by
// targets that did not crash.
TEST(retry, connections_reset_by_running_targets_do_not_block_a_request) {
    const auto first = node.request("GET", "/popular");
    CHECK(d.first_step(first).kind == step_kind::send);
    for (int i = 0; i < 2; ++i) {
        CHECK_TRUE(d.may_send(first));
        auto attempt = node.attempt(answer_kind::connection_lost);
        attempt.target_is_up = true;
        static_cast<void>(d.on_attempt_ended(first, attempt));
    }
    d.finish_request(first, true, nullptr);
    CHECK_EQUAL(0U, node.sink.marks.size());
    CHECK(d.first_step(node.request("GET", "/popular")).kind == step_kind::send);
}

// Guards against sending a request whose crash marks arrive after it was placed.
TEST(retry, placed_request_is_not_sent_after_crash_marks_arrive) {
    const auto poison = node.request("GET", "/poison");
    const auto fingerprint = dispatch::request_fingerprint(poison, {});
    CHECK(d.first_step(poison).kind == step_kind::send);
    d.add_crash_mark({fingerprint, target_id("t0"), node.clock.wall_now()});
    d.add_crash_mark({fingerprint, target_id("t1"), node.clock.wall_now()});
    CHECK_FALSE(d.may_send(poison));
    const auto next = d.on_attempt_ended(poison, node.attempt(answer_kind::cancelled, false));
    STRCMP_EQUAL("contained", next->reason.type.c_str());
    CHECK(next->reason.result == outcome::not_run);
}

// Guards against a request that waits for a free target although crash marks block it meanwhile.
TEST(retry, waiting_request_is_refused_when_crash_marks_arrive) {
    test::dispatcher_fixture one{test::make_snapshot(1, 1)};
    auto& busy = *one.dispatcher;
    const auto running = one.request("GET", "/a");
    CHECK(busy.first_step(running).kind == step_kind::send);
    const auto poison = one.request("GET", "/poison");
    const auto fingerprint = dispatch::request_fingerprint(poison, {});
    std::string refusal;
    std::thread waiting([&] { refusal = busy.first_step(poison).reason.type; });
    while (busy.waiting() < 1) {
        std::this_thread::yield();
    }
    busy.add_crash_mark({fingerprint, target_id("t1"), one.clock.wall_now()});
    busy.add_crash_mark({fingerprint, target_id("t2"), one.clock.wall_now()});
    const auto still_waiting = busy.waiting();
    busy.finish_request(running, true, nullptr);
    waiting.join();
    LONGS_EQUAL(0, still_waiting);
    STRCMP_EQUAL("contained", refusal.c_str());
}

// Guards against an unbounded queue, in which callers wait for requests that can't be served in
// time.
TEST(retry, full_queue_refuses_new_requests_at_once) {
    test::dispatcher_fixture one{test::make_snapshot(1, 1)};
    auto& busy = *one.dispatcher;
    CHECK(busy.first_step(one.request("GET", "/a")).kind == step_kind::send);
    std::vector<std::thread> threads;
    threads.reserve(2);
    std::atomic<int> refused{0};
    for (int i = 0; i < 2; ++i) {
        threads.emplace_back([&busy, &refused, request = one.request("GET", "/a")] {
            refused += busy.first_step(request).kind == step_kind::refuse ? 1 : 0;
        });
    }
    while (busy.waiting() < 2) {
        std::this_thread::yield();
    }
    const auto step = busy.first_step(one.request("GET", "/a"));
    STRCMP_EQUAL("queue-full", step.reason.type.c_str());
    CHECK_TRUE(step.reason.retry_after.has_value());
    busy.stop();
    for (auto& it : threads) {
        it.join();
    }
    CHECK_EQUAL(2, refused.load());
}

// Decides about requests that crash their targets; the clock stands still between the calls.
TEST_GROUP(crash_retry) {
    test::dispatcher_fixture node{test::make_snapshot(3, 2)};
    dispatch::clock_reading at{instant{} + seconds(100), wall_time{} + seconds(1'000'000)};
    dispatch::decision_core core{{"10.1.0.1", 80}, 7, at, {}, node.random};

    void setup() override {
        core.set_view(test::make_view(node.snapshot),
                      std::make_shared<routing::route_table>(node.snapshot), at.now);
    }
    void advance(nanoseconds span) {
        at.now += std::chrono::duration_cast<instant::duration>(span);
        at.wall += std::chrono::duration_cast<wall_time::duration>(span);
    }
    traffic::request_info begin(const char* path) {
        auto request = node.request("GET", path);
        request.arrived = at.now;
        request.deadline = at.now + seconds(10);
        core.begin_request(request, at);
        return request;
    }
    // Returns the step of a request, which must have one.
    traffic::step step_of(const traffic::request_info& request) {
        const auto step = core.poll(request.id, at);
        CHECK_TRUE(step.has_value());
        return *step;
    }
    // Sends a request to a target, which answers it.
    void succeed(const traffic::request_info& request) {
        CHECK(step_of(request).kind == step_kind::send);
        CHECK_TRUE(core.may_send(request.id, at));
        auto answered = node.attempt(answer_kind::ok);
        answered.ended = at.now;
        CHECK_FALSE(core.on_attempt_ended(request.id, answered, at));
        core.finish_request(request.id, true, nullptr, at);
    }
    // Sends a request to a target, which crashes.
    void crash(const traffic::request_info& request) {
        CHECK(step_of(request).kind == step_kind::send);
        CHECK_TRUE(core.may_send(request.id, at));
        CHECK_TRUE(
            core.on_attempt_ended(request.id, node.attempt(answer_kind::connection_lost), at));
    }
};

// Guards against a request that crashes one target after another, and against crash marks that are
// not reported to peers.
TEST(crash_retry, request_that_crashes_two_targets_is_refused) {
    const auto poison = begin("/poison");
    crash(poison);
    advance(seconds(1));
    crash(poison);
    CHECK(step_of(poison).kind == step_kind::refuse);
    core.finish_request(poison.id, true, nullptr, at);
    const auto events = core.take_events();
    LONGS_EQUAL(2, std::ranges::count_if(events, [](const auto& it) {
                    return std::holds_alternative<once::crash_mark>(it);
                }));
    STRCMP_EQUAL("contained", step_of(begin("/poison")).reason.type.c_str());
    succeed(begin("/other"));
    advance(std::chrono::minutes(10));
    CHECK(step_of(begin("/poison")).kind == step_kind::send);
}

// Guards against a request that goes on crashing targets because one with the same path on another
// host succeeds, and against refusing the latter.
TEST(crash_retry, success_on_another_host_clears_no_crash_marks) {
    const auto succeed_elsewhere = [this] {
        auto twin = node.request("GET", "/list");
        twin.host = "other.example";
        twin.arrived = at.now;
        twin.deadline = at.now + seconds(10);
        core.begin_request(twin, at);
        succeed(twin);
    };
    const auto poison = begin("/list");
    crash(poison);
    succeed_elsewhere();
    advance(seconds(1));
    crash(poison);
    CHECK(step_of(poison).kind == step_kind::refuse);
    core.finish_request(poison.id, true, nullptr, at);
    succeed_elsewhere();
    STRCMP_EQUAL("contained", step_of(begin("/list")).reason.type.c_str());
}

// Guards against crashing a second target before other nodes, to which the caller may have sent the
// request as well, learn of the first.
TEST(crash_retry, request_that_crashed_a_target_is_sent_again_after_a_delay) {
    const auto request = begin("/poison");
    crash(request);
    advance(milliseconds(99));
    CHECK_FALSE(core.poll(request.id, at).has_value());
    CHECK(core.wake_at(request.id, at.now) <= at.now + milliseconds(1));
    advance(milliseconds(1));
    CHECK(step_of(request).kind == step_kind::send);
}
