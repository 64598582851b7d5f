#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using health::answer_kind;
using traffic::outcome;
using traffic::step_kind;

namespace {

std::shared_ptr<const traffic::stored_answer> answer_text(const char* body) {
    return std::make_shared<const traffic::stored_answer>(
        traffic::stored_answer{201, {{"Content-Type", "text/plain"}}, body});
}

} // namespace

TEST_GROUP(at_most_once) {
    test::dispatcher_fixture node{test::make_snapshot(3, 2)};
    dispatch::request_dispatcher& d = *node.dispatcher;

    void check_refused(const traffic::step& step, const char* type, outcome result) {
        CHECK(step.kind == step_kind::refuse);
        STRCMP_EQUAL(type, step.reason.type.c_str());
        CHECK(step.reason.result == result);
    }
    void run_whole(const char* key) {
        const auto request = node.request("POST", "/runs", key);
        CHECK(d.first_step(request).kind == step_kind::send);
        CHECK_TRUE(d.may_send(request));
        CHECK_FALSE(d.on_attempt_ended(request, node.attempt(answer_kind::ok)).has_value());
        d.finish_request(request, true, answer_text("printed"));
    }
};

// Guards against running a request again when the same key is sent again to the same node.
TEST(at_most_once, same_key_again_gets_the_stored_answer) {
    run_whole("k");
    const auto again = node.request("POST", "/runs", "\"k\"");
    const auto step = d.first_step(again);
    CHECK(step.kind == step_kind::replay);
    STRCMP_EQUAL("printed", step.answer->body.c_str());
    d.finish_request(again, true, nullptr);
    CHECK_EQUAL(1U, d.keys());
}

// Guards against running a key twice while its first request is still in the target, and against
// never waking the request that waits for it.
TEST(at_most_once, same_key_waits_while_the_first_runs) {
    const auto first = node.request("POST", "/runs", "k");
    CHECK(d.first_step(first).kind == step_kind::send);
    CHECK_TRUE(d.may_send(first));
    const auto second = node.request("POST", "/runs", "k");
    traffic::step step;
    std::thread thread([&] { step = d.first_step(second); });
    while (d.active() < 2) {
        std::this_thread::yield();
    }
    CHECK_FALSE(d.on_attempt_ended(first, node.attempt(answer_kind::ok)).has_value());
    d.finish_request(first, true, answer_text("printed"));
    thread.join();
    CHECK(step.kind == step_kind::replay);
}

// Guards against replaying an answer to a request with another body or for another host, and
// against sharing a key between two workspaces.
TEST(at_most_once, key_with_another_body_host_or_workspace_is_not_replayed) {
    run_whole("k");
    auto other_body = node.request("POST", "/runs", "k");
    other_body.body_digest = 99;
    check_refused(d.first_step(other_body), "key-reused", outcome::unknown);
    auto other_host = node.request("POST", "/runs", "k");
    other_host.host = "other.example";
    check_refused(d.first_step(other_host), "key-reused", outcome::unknown);
    auto other_workspace = node.request("POST", "/runs", "k");
    other_workspace.workspace = "w2";
    CHECK(d.first_step(other_workspace).kind == step_kind::send);
}

// Guards against running a request without a valid key on a route that requires one.
TEST(at_most_once, missing_and_bad_keys_are_refused) {
    const auto missing = d.first_step(node.request("POST", "/runs"));
    check_refused(missing, "key-required", outcome::not_run);
    CHECK_EQUAL(428, missing.reason.status);
    check_refused(d.first_step(node.request("POST", "/runs", "a b")), "key-invalid",
                  outcome::not_run);
    check_refused(d.first_step(node.request("POST", "/runs", "wr1-10.1.0.1-80-7-5")),
                  "key-never-issued", outcome::not_run);
}

// Guards against retrying a request that a target may have run, and against reporting it as
// "not-run", either at once or when the key is sent again.
TEST(at_most_once, lost_connection_has_unknown_outcome) {
    const auto request = node.request("POST", "/runs", "k");
    CHECK(d.first_step(request).kind == step_kind::send);
    CHECK_TRUE(d.may_send(request));
    const auto next = d.on_attempt_ended(request, node.attempt(answer_kind::connection_lost));
    check_refused(*next, "target-lost", outcome::unknown);
    d.finish_request(request, true, nullptr);
    check_refused(d.first_step(node.request("POST", "/runs", "k")), "key-unknown",
                  outcome::unknown);
    CHECK_EQUAL(1U, node.sink.marks.size());
}

// Guards against reporting "not-run" for a request that was allowed to be written, but whose
// attempt reported no result.
TEST(at_most_once, sent_request_without_result_has_unknown_outcome) {
    const auto request = node.request("POST", "/runs", "k");
    CHECK(d.first_step(request).kind == step_kind::send);
    CHECK_TRUE(d.may_send(request));
    d.finish_request(request, false, nullptr);
    check_refused(d.first_step(node.request("POST", "/runs", "k")), "key-unknown",
                  outcome::unknown);
}

// Guards against recording a key as done when the answer's body broke off after its head was passed
// on.
TEST(at_most_once, broken_answer_body_has_unknown_outcome) {
    const auto request = node.request("POST", "/runs", "k");
    CHECK(d.first_step(request).kind == step_kind::send);
    CHECK_TRUE(d.may_send(request));
    CHECK_FALSE(d.on_attempt_ended(request, node.attempt(answer_kind::ok)).has_value());
    auto broken = node.attempt(answer_kind::malformed);
    broken.answer_partly_sent = true;
    check_refused(*d.on_attempt_ended(request, broken), "bad-answer", outcome::unknown);
    d.finish_request(request, false, nullptr);
    check_refused(d.first_step(node.request("POST", "/runs", "k")), "key-unknown",
                  outcome::unknown);
}

// Guards against not waking the requests that wait for a key when the request that holds it ends.
TEST(at_most_once, waiters_are_ready_when_the_holder_ends) {
    const dispatch::clock_reading at{node.clock.now(), node.clock.wall_now()};
    const std::chrono::hours uptime(1);
    dispatch::decision_core core(
        {"10.1.0.1", 80}, 7, {at.now - uptime, at.wall - uptime},
        dispatch::core_options{
            .make_policy = [] { return std::make_unique<routing::round_robin>(); }},
        node.random);
    core.set_config_confirmed_at(at.wall);
    core.set_view(test::make_view(node.snapshot),
                  std::make_shared<routing::route_table>(node.snapshot), at.now);
    const auto holder = node.request("POST", "/runs", "k");
    const auto waiter = node.request("POST", "/runs", "k");
    core.begin_request(holder, at);
    core.begin_request(waiter, at);
    CHECK(core.poll(holder.id, at)->kind == step_kind::send);
    CHECK_FALSE(core.poll(waiter.id, at).has_value());
    core.finish_request(holder.id, false, nullptr, at);
    CHECK(core.take_ready() == std::vector<std::uint64_t>({waiter.id}));
    const auto step = core.poll(waiter.id, at);
    check_refused(*step, "key-refused", outcome::not_run);
}

// Guards against giving up a request that no target received, because the connection failed before
// the first byte.
TEST(at_most_once, refused_connection_is_retried_at_another_target) {
    const auto request = node.request("POST", "/runs", "k");
    const auto first = d.first_step(request);
    CHECK_TRUE(d.may_send(request));
    const auto next = d.on_attempt_ended(request, node.attempt(answer_kind::connect_failed, false));
    CHECK(next->kind == step_kind::send);
    CHECK(next->target != first.target);
    CHECK_TRUE(next->needs_fresh_connection);
}

// Guards against discarding a complete answer when the connection to the caller broke. The answer
// must be stored for the key.
TEST(at_most_once, answer_is_stored_when_the_caller_disconnects) {
    const auto request = node.request("POST", "/runs", "k");
    CHECK(d.first_step(request).kind == step_kind::send);
    CHECK_TRUE(d.may_send(request));
    CHECK_FALSE(d.on_attempt_ended(request, node.attempt(answer_kind::ok)).has_value());
    d.finish_request(request, false, answer_text("printed"));
    CHECK(d.first_step(node.request("POST", "/runs", "k")).kind == step_kind::replay);
}

// Guards against refusing an at-most-once request after its first shed, although no target ran it,
// and against more attempts than the retry rules allow.
TEST(at_most_once, shed_request_is_retried_and_ends_as_not_run) {
    const auto request = node.request("POST", "/runs", "k");
    auto step = d.first_step(request);
    std::vector<target_id> seen;
    for (int i = 0; i < 3; ++i) {
        CHECK(step.kind == step_kind::send);
        CHECK(std::find(seen.begin(), seen.end(), step.target) == seen.end());
        seen.push_back(step.target);
        CHECK_TRUE(d.may_send(request));
        auto attempt = node.attempt(answer_kind::shed);
        node.clock.advance(milliseconds(i == 2 ? 10'000 : 1));
        step = *d.on_attempt_ended(request, attempt);
    }
    check_refused(step, "shed", outcome::not_run);
    CHECK_TRUE(step.reason.retry_after.has_value());
    d.finish_request(request, true, nullptr);
    CHECK(d.first_step(node.request("POST", "/runs", "k")).kind == step_kind::send);
}

// Guards against sending a request after its deadline, when the process paused between choosing the
// target and writing.
TEST(at_most_once, pause_before_sending_ends_as_not_run) {
    const auto request = node.request("POST", "/runs", "k");
    CHECK(d.first_step(request).kind == step_kind::send);
    node.clock.advance(seconds(11));
    CHECK_FALSE(d.may_send(request));
    const auto next = d.on_attempt_ended(request, node.attempt(answer_kind::cancelled, false));
    check_refused(*next, "deadline-passed", outcome::not_run);
}

// Guards against reporting "not-run" in a refusal that precedes the check of the key, when an
// earlier request with the same key may have run.
TEST(at_most_once, refusal_before_the_key_check_has_unknown_outcome) {
    config::workspace limited;
    limited.name = workspace_name("w1");
    limited.requests_per_second = 1.0;
    node.snapshot->workspaces = {limited};
    d.set_view(test::make_view(node.snapshot));
    run_whole("k");
    check_refused(d.first_step(node.request("POST", "/runs", "k")), "workspace-limit",
                  outcome::unknown);
    d.stop();
    check_refused(d.first_step(node.request("POST", "/runs", "k")), "stopping", outcome::unknown);
}

// Guards against a status that tells the caller to send an order again which a target may have run
// (review/14, REFUSED).
TEST(at_most_once, status_that_promises_no_run_needs_a_proof) {
    for (const int status : {408, 421, 429, 503}) {
        const auto key = "k" + std::to_string(status);
        const auto request = node.request("POST", "/runs", key);
        CHECK(d.first_step(request).kind == step_kind::send);
        CHECK_TRUE(d.may_send(request));
        auto attempt = node.attempt(answer_kind::server_error);
        attempt.status = status;
        const auto next = d.on_attempt_ended(request, attempt);
        CHECK_TRUE(next.has_value());
        check_refused(*next, "unproven-status", outcome::unknown);
        LONGS_EQUAL(502, next->reason.status);
        d.finish_request(request, true, nullptr);
        check_refused(d.first_step(node.request("POST", "/runs", key)), "key-unknown",
                      outcome::unknown);
    }
}

// Guards against changing statuses that promise nothing, and those of requests that may run twice.
TEST(at_most_once, other_statuses_are_passed_on) {
    const auto is_passed_on = [&](const char* path, int status) {
        const auto request = node.request("POST", path, "k" + std::to_string(status));
        CHECK(d.first_step(request).kind == step_kind::send);
        CHECK_TRUE(d.may_send(request));
        auto attempt = node.attempt(answer_kind::server_error);
        attempt.status = status;
        attempt.answer_partly_sent = true; // so that it isn't sent again
        const bool ends = !d.on_attempt_ended(request, attempt).has_value();
        d.finish_request(request, true, nullptr);
        return ends;
    };
    for (const int status : {400, 404, 409, 500, 502, 504}) {
        CHECK_TRUE(is_passed_on("/runs", status));
    }
    for (const int status : {408, 421, 429, 503}) {
        CHECK_TRUE(is_passed_on("/stock", status));
    }
}
