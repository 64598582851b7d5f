#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using health::answer_kind;
using traffic::outcome;
using traffic::step_kind;

namespace {

std::shared_ptr<config::snapshot> owned_by(const char* ip) {
    auto snapshot = test::make_snapshot(2, 2);
    snapshot->key_owners = {{wall_time{}, {{ip, 80}}}};
    return snapshot;
}

} // namespace

TEST_GROUP(key_owner) {
    test::dispatcher_fixture owner{owned_by("10.1.0.1")};
    test::dispatcher_fixture other{owned_by("10.1.0.9")};

    void check_refused(const traffic::step& step, const char* type, outcome result) {
        CHECK(step.kind == step_kind::refuse);
        STRCMP_EQUAL(type, step.reason.type.c_str());
        CHECK(step.reason.result == result);
    }
};

// Guards against running a key on a node that doesn't own it, and against forwarding a request in a
// loop between two nodes.
TEST(key_owner, key_of_another_node_is_forwarded_once) {
    auto& d = *other.dispatcher;
    const auto request = other.request("POST", "/runs", "k");
    const auto step = d.first_step(request);
    CHECK(step.kind == step_kind::forward);
    STRCMP_EQUAL("10.1.0.9:80", to_string(step.address).c_str());
    auto forwarded = other.request("POST", "/runs", "k");
    forwarded.sender = traffic::request_sender::node;
    check_refused(d.first_step(forwarded), "key-owner-disputed", outcome::unknown);
}

// Guards against retrying the owner's refusal like a shed, and against reporting the owner node to
// the health monitor as a target.
TEST(key_owner, refusal_of_the_owner_is_passed_on) {
    auto& d = *other.dispatcher;
    const auto request = other.request("POST", "/runs", "k");
    CHECK(d.first_step(request).kind == step_kind::forward);
    CHECK_TRUE(d.may_send(request));
    CHECK_FALSE(d.on_attempt_ended(request, other.attempt(answer_kind::shed)).has_value());
    d.finish_request(request, true, nullptr);
    CHECK(other.sink.answers.empty());
    CHECK_EQUAL(0U, d.active());
}

// Guards against a 401 or 404 to a caller whose request this node allows, because the owner of its
// key has other rules (review/13, DENIED).
TEST(key_owner, owner_that_denies_access_is_no_answer_to_the_caller) {
    auto& d = *other.dispatcher;
    for (const int status : {401, 403, 404, 405}) {
        const auto request = other.request("POST", "/runs", "k");
        CHECK(d.first_step(request).kind == step_kind::forward);
        CHECK_TRUE(d.may_send(request));
        auto refused = other.attempt(answer_kind::ok);
        refused.status = status;
        refused.node_refusal = outcome::unknown;
        const auto next = d.on_attempt_ended(request, refused);
        CHECK_TRUE(next.has_value());
        check_refused(*next, "key-owner-disputed", outcome::unknown);
        d.finish_request(request, true, nullptr);
    }
}

// Guards against a status that promises that an order didn't run, when an owner of an older build
// passes it on from a target (review/14, REFUSED).
TEST(key_owner, promise_of_a_target_through_the_owner_needs_a_proof) {
    auto& d = *other.dispatcher;
    const auto request = other.request("POST", "/runs", "k");
    CHECK(d.first_step(request).kind == step_kind::forward);
    CHECK_TRUE(d.may_send(request));
    auto passed_on = other.attempt(answer_kind::server_error);
    passed_on.status = 503;
    const auto next = d.on_attempt_ended(request, passed_on);
    CHECK_TRUE(next.has_value());
    check_refused(*next, "unproven-status", outcome::unknown);
    d.finish_request(request, true, nullptr);
}

// Guards against a key that runs twice because its caller isn't known: only a known node may name
// the caller that a key without a workspace belongs to.
TEST(key_owner, key_from_an_unknown_node_is_not_run) {
    auto passed_on = owner.request("POST", "/runs", "k");
    passed_on.workspace.clear();
    passed_on.sender = traffic::request_sender::unknown_node;
    check_refused(owner.dispatcher->first_step(passed_on), "sender-unknown", outcome::unknown);
}

// Guards against reporting "not-run" when the owner can't be reached, and against retrying it
// without limit.
TEST(key_owner, unreachable_owner_has_unknown_outcome) {
    auto& d = *other.dispatcher;
    const auto request = other.request("POST", "/runs", "k");
    CHECK(d.first_step(request).kind == step_kind::forward);
    const auto failure = other.attempt(answer_kind::connect_failed, false);
    CHECK(d.on_attempt_ended(request, failure)->kind == step_kind::forward);
    check_refused(*d.on_attempt_ended(request, failure), "key-owner-unreachable", outcome::unknown);
}

// Guards against running a key again after a restart of the process that may have run it.
TEST(key_owner, restarted_owner_does_not_run_old_keys) {
    const auto issued = owner.dispatcher->issue_key();
    CHECK(owner.dispatcher->first_step(owner.request("POST", "/runs", issued)).kind ==
          step_kind::send);
    test::dispatcher_fixture restarted(owned_by("10.1.0.1"));
    dispatch::request_dispatcher second({{"10.1.0.1", 80}, 8, {}}, restarted.clock,
                                        restarted.random, restarted.sink);
    second.set_view(test::make_view(restarted.snapshot));
    second.set_config_confirmed_at(restarted.clock.wall_now());
    check_refused(second.first_step(restarted.request("POST", "/runs", issued)), "key-process-gone",
                  outcome::unknown);
    check_refused(second.first_step(restarted.request("POST", "/runs", "k")), "key-before-start",
                  outcome::unknown);
}

// Guards against running keys on an owner whose configuration may be out of date, so that another
// node may own them by now.
TEST(key_owner, owner_without_confirmation_replays_but_runs_no_new_keys) {
    auto& d = *owner.dispatcher;
    const auto request = owner.request("POST", "/runs", "k");
    CHECK(d.first_step(request).kind == step_kind::send);
    CHECK_TRUE(d.may_send(request));
    CHECK_FALSE(d.on_attempt_ended(request, owner.attempt(answer_kind::ok)).has_value());
    d.finish_request(request, true, std::make_shared<const traffic::stored_answer>());
    owner.snapshot->owner_lease = milliseconds(0);
    check_refused(d.first_step(owner.request("POST", "/runs", "l")), "key-owner-unconfirmed",
                  outcome::unknown);
    CHECK(d.first_step(owner.request("POST", "/runs", "k")).kind == step_kind::replay);
}
