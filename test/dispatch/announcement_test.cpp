#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using health::answer_kind;
using traffic::step_kind;

// What a target announces in its answers binds this node, whatever the configuration says.
TEST_GROUP(announcement) {
    std::shared_ptr<config::snapshot> snapshot;
    std::unique_ptr<test::dispatcher_fixture> node;

    void setup() override {
        snapshot = test::make_snapshot(2, 6);
        snapshot->routes.at(1).key = config::key_policy::optional;
        node = std::make_unique<test::dispatcher_fixture>(snapshot);
    }
    // Sends an order. Returns its target, or an empty text when it was refused.
    std::string send(const std::function<void(traffic::attempt_result&)>& change = {}) {
        const auto request = node->request("POST", "/runs/1");
        auto step = node->dispatcher->first_step(request);
        if (step.kind != step_kind::send) {
            return {};
        }
        CHECK(node->dispatcher->may_send(request));
        auto attempt = node->attempt(answer_kind::ok);
        if (change) {
            change(attempt);
        }
        CHECK_FALSE(node->dispatcher->on_attempt_ended(request, attempt));
        node->dispatcher->finish_request(request, true, nullptr);
        return step.target.value;
    }
    // Returns how many of 20 orders reached a target.
    int sent_to(const std::string& target) {
        int n = 0;
        for (int i = 0; i < 20; ++i) {
            n += send() == target ? 1 : 0;
        }
        return n;
    }
    std::string announce_draining() {
        return send([](traffic::attempt_result& it) { it.draining = true; });
    }
};

// Guards against work for a draining target that the configuration still contains after minutes,
// because the store is away.
TEST(announcement, draining_target_gets_no_work_while_it_is_configured) {
    const auto target = announce_draining();
    node->clock.advance(seconds(31));
    LONGS_EQUAL(0, sent_to(target));
    node->clock.advance(std::chrono::minutes(11));
    node->dispatcher->set_view(test::make_view(snapshot));
    LONGS_EQUAL(0, sent_to(target));
}

// Guards against a new process under the same id and address that gets no work because the earlier
// one drained, and against an answer of the earlier one that ends its use (review/5, FLOOR).
TEST(announcement, process_that_starts_under_the_same_id_gets_work) {
    for (auto& it : snapshot->services.at(0).targets) {
        it.registered = {1'000, 5};
    }
    node->dispatcher->set_view(test::make_view(snapshot));
    const auto late = node->request("POST", "/runs/1");
    const auto target = node->dispatcher->first_step(late).target.value;
    CHECK(node->dispatcher->may_send(late));
    auto next = std::make_shared<config::snapshot>(*snapshot);
    for (auto& it : next->services.at(0).targets) {
        it.registered = {2'000, 9};
    }
    node->dispatcher->set_view(test::make_view(next));
    CHECK(sent_to(target) > 0);
    auto attempt = node->attempt(answer_kind::ok);
    attempt.draining = true;
    CHECK_FALSE(node->dispatcher->on_attempt_ended(late, attempt));
    node->dispatcher->finish_request(late, true, nullptr);
    CHECK(sent_to(target) > 0);
}

// Guards against a later answer that another target has the address, which ended the exclusion of a
// draining target.
TEST(announcement, misdirected_answer_does_not_end_draining) {
    const auto target = send([](traffic::attempt_result& it) {
        it.draining = true;
        it.misdirected = true;
    });
    node->clock.advance(seconds(5));
    LONGS_EQUAL(0, sent_to(target));
}

// Guards against a new process of a target that gets no work because an earlier one drained.
TEST(announcement, target_that_returns_to_the_configuration_gets_work) {
    const auto target = announce_draining();
    node->dispatcher->set_view(test::make_view(test::make_snapshot(0, 6)));
    LONGS_EQUAL(0, sent_to(target));
    node->dispatcher->set_view(test::make_view(snapshot));
    CHECK(sent_to(target) > 0);
}

// Guards against the same when a request was still running at the earlier process.
TEST(announcement, returned_target_gets_work_beside_a_request_of_the_earlier_process) {
    CHECK(sent_to("t0") > 0); // raises the limits on concurrent requests above the initial 1
    const auto running = node->request("POST", "/runs/1");
    const auto target = node->dispatcher->first_step(running).target.value;
    CHECK(node->dispatcher->may_send(running));
    CHECK(announce_draining() != announce_draining()); // both drain, that one too
    node->dispatcher->set_view(test::make_view(test::make_snapshot(0, 6)));
    LONGS_EQUAL(0, sent_to(target));
    const std::string other = target == "t0" ? "t1" : "t0";
    node->dispatcher->set_view(test::make_view(snapshot, {other}));
    CHECK(sent_to(target) > 0);
}

// Guards against requests to a target before the end of its pause, also after a shorter one that it
// names later, and against a pause that outlasts its end.
TEST(announcement, paused_target_gets_no_work_until_the_end) {
    const auto target = send([](traffic::attempt_result& it) {
        it.kind = answer_kind::server_error;
        it.pause = milliseconds(2'500);
    });
    LONGS_EQUAL(0, sent_to(target));
    node->clock.advance(milliseconds(2'400));
    LONGS_EQUAL(0, sent_to(target));
    node->clock.advance(seconds(12)); // the failure is forgotten too
    CHECK(sent_to(target) > 0);
}

TEST(announcement, shorter_pause_does_not_end_a_longer_one) {
    CHECK(sent_to("t0") > 0); // raises the limits on concurrent requests above the initial 1
    const auto first = node->request("POST", "/runs/1");
    const auto target = node->dispatcher->first_step(first).target.value;
    CHECK(node->dispatcher->may_send(first));
    traffic::request_info second;
    do {
        second = node->request("POST", "/runs/1");
    } while (node->dispatcher->first_step(second).target.value != target);
    CHECK(node->dispatcher->may_send(second));
    for (const auto& [request, pause] : {std::pair(first, 9), std::pair(second, 1)}) {
        auto attempt = node->attempt(answer_kind::ok);
        attempt.pause = seconds(pause);
        CHECK_FALSE(node->dispatcher->on_attempt_ended(request, attempt));
        node->dispatcher->finish_request(request, true, nullptr);
    }
    node->clock.advance(seconds(8));
    const auto step = node->dispatcher->first_step(node->request("POST", "/runs/1"));
    CHECK(step.target.value != target);
}

// Guards against probes of a target in its pause.
TEST(announcement, paused_target_is_not_probed) {
    const auto target = send([](traffic::attempt_result& it) { it.pause = seconds(9); });
    node->dispatcher->set_view(test::make_view(snapshot, {target}));
    node->dispatcher->request_probe(service_name("print"), target_id(target), seconds(10));
    const auto step = node->dispatcher->first_step(node->request("GET", "/stock"));
    CHECK(step.target.value != target);
}

// Guards against requests that wait although no target takes any in time, and against a refusal
// without the time at which the first pause ends.
TEST(announcement, request_is_refused_at_once_while_all_targets_pause) {
    for (const int pause : {20, 8}) {
        CHECK_FALSE(
            send([pause](traffic::attempt_result& it) { it.pause = seconds(pause); }).empty());
    }
    const auto step = node->dispatcher->first_step(node->request("POST", "/runs/1"));
    CHECK(step.kind == step_kind::refuse);
    LONGS_EQUAL(503, step.reason.status);
    CHECK(step.reason.result == traffic::outcome::not_run);
    CHECK(step.reason.retry_after == seconds(8));
}

// Guards against a retry that waits for a target's pause although the target that shed it has room.
TEST(announcement, shed_request_returns_to_its_target_while_the_other_pauses) {
    const auto paused = send([](traffic::attempt_result& it) { it.pause = seconds(9); });
    const auto request = node->request("POST", "/runs/1");
    CHECK(node->dispatcher->first_step(request).target.value != paused);
    CHECK(node->dispatcher->may_send(request));
    node->clock.advance(seconds(1));
    std::optional<traffic::step> next;
    std::thread worker([&] {
        next = node->dispatcher->on_attempt_ended(request, node->attempt(answer_kind::shed));
    });
    for (int i = 0; i < 40; ++i) { // 2 s, for the backoff after a shed
        std::this_thread::sleep_for(milliseconds(5));
        node->clock.advance(milliseconds(50));
        node->dispatcher->tick();
    }
    node->clock.advance(seconds(20)); // ends a request that still waits
    node->dispatcher->tick();
    worker.join();
    CHECK(next.has_value() && next->kind == step_kind::send);
    CHECK(next->target.value != paused);
}

// Guards against a new process of a target that gets no work because of an earlier one's pause.
TEST(announcement, target_at_another_address_gets_work_in_the_pause) {
    const auto target = send([](traffic::attempt_result& it) { it.pause = seconds(9); });
    LONGS_EQUAL(0, sent_to(target));
    auto moved = test::make_snapshot(2, 6);
    moved->routes.at(1).key = config::key_policy::optional;
    for (auto& it : moved->services.front().targets) {
        it.address.port = 9090;
    }
    node->dispatcher->set_view(test::make_view(moved));
    CHECK(sent_to(target) > 0);
}

// Guards against waiting requests when all targets drain: they can't be served.
TEST(announcement, request_is_refused_at_once_when_all_targets_drain) {
    static_cast<void>(announce_draining());
    CHECK_FALSE(announce_draining().empty());
    const auto step = node->dispatcher->first_step(node->request("POST", "/runs/1"));
    CHECK(step.kind == step_kind::refuse);
    CHECK(step.reason.result == traffic::outcome::not_run);
}

// Guards against a probe of a target that drains.
TEST(announcement, draining_target_is_not_probed) {
    const auto target = announce_draining();
    node->dispatcher->set_view(test::make_view(snapshot, {target}));
    node->dispatcher->request_probe(service_name("print"), target_id(target), seconds(10));
    const auto step = node->dispatcher->first_step(node->request("GET", "/stock"));
    CHECK(step.kind == step_kind::send);
    CHECK(step.target.value != target);
}
