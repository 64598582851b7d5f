#include "wigeonrill/once.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using once::key_problem;
using action = once::owner_decision::action;

namespace {

const endpoint a{"10.1.0.1", 80};
const endpoint b{"10.1.0.2", 80};
const wall_time noon = wall_time{} + std::chrono::hours(500'000);

once::idempotency_key uuid_created(wall_time when) {
    once::idempotency_key key;
    key.kind = once::key_kind::uuid_v7;
    key.text = std::string("k");
    key.created = when;
    return key;
}

} // namespace

TEST_GROUP(key_owner_policy) {
    config::snapshot configuration;
    once::key_issuer issuer{a, 7, instant{}};
    once::owner_context context;
    instant now = instant{} + std::chrono::hours(1);

    void setup() override {
        configuration.key_owners = {{wall_time{}, {a}}};
        context.self = a;
        context.incarnation = 7;
        context.started = noon - std::chrono::hours(1);
        context.uptime = std::chrono::hours(1);
        context.now = noon;
        context.confirmed = noon;
    }
    once::owner_decision decide(const std::string& text) {
        return decide(*once::parse_key(text));
    }
    once::owner_decision decide(const once::idempotency_key& key) {
        return once::key_owner_policy::decide(configuration, key, issuer, context, now);
    }
    void check_problem(key_problem expected, const once::idempotency_key& key) {
        const auto decision = decide(key);
        CHECK(decision.chosen_action == action::refuse);
        CHECK(decision.problem == expected);
    }
};

// Guards against running an issued key in another process, and against running a key again after
// its entry was dropped.
TEST(key_owner_policy, issued_key_runs_in_its_process_only) {
    const auto key = issuer.issue(now);
    CHECK(decide(key).chosen_action == action::run);
    context.incarnation = 8;
    check_problem(key_problem::process_gone, *once::parse_key(key));
    context.incarnation = 7;
    check_problem(key_problem::never_issued,
                  *once::parse_key(once::format_issued_key(a, 7, 1ULL << 60U)));
    context.self = b;
    CHECK(decide(key).chosen_action == action::forward);
    CHECK(decide(key).owner == a);
    context.self = a;
    now += configuration.resend_window + milliseconds(1);
    check_problem(key_problem::too_old, *once::parse_key(key));
}

// Guards against two nodes that forward a request to each other forever.
TEST(key_owner_policy, forwarded_request_is_not_forwarded_again) {
    context.self = b;
    context.from_node = true;
    check_problem(key_problem::owner_disputed, uuid_created(noon));
    check_problem(key_problem::owner_disputed, *once::parse_key(issuer.issue(now)));
}

// Guards against running a key that the owner may have run before its restart.
TEST(key_owner_policy, restarted_owner_runs_only_keys_created_after_its_start) {
    context.started = noon - seconds(30);
    context.uptime = seconds(30);
    check_problem(key_problem::before_start, uuid_created(context.started + seconds(4)));
    CHECK(decide(uuid_created(context.started + milliseconds(4001))).chosen_action == action::run);
    check_problem(key_problem::before_start, *once::parse_key("order-17"));
    context.uptime = configuration.resend_window + seconds(3);
    CHECK(decide("order-17").chosen_action == action::run);
}

// Guards against a second run after the entry of a key was dropped.
TEST(key_owner_policy, keys_outside_the_window_are_refused) {
    CHECK(decide(uuid_created(noon - configuration.resend_window)).chosen_action == action::run);
    check_problem(key_problem::too_old,
                  uuid_created(noon - configuration.resend_window - milliseconds(1)));
    check_problem(key_problem::from_future, uuid_created(noon + seconds(3)));
    // The window was raised after an entry that last changed 3 minutes ago was dropped.
    context.known_history = std::chrono::minutes(3);
    check_problem(key_problem::too_old, uuid_created(noon - std::chrono::minutes(4)));
    check_problem(key_problem::before_start, *once::parse_key("order-17"));
}

// Guards against two owners of one key while nodes receive a new owner list at different times.
TEST(key_owner_policy, owner_is_chosen_by_the_creation_time) {
    configuration.key_owners.push_back({noon - seconds(60), {b}});
    CHECK(decide(uuid_created(noon - seconds(61))).chosen_action == action::run);
    CHECK(decide(uuid_created(noon - seconds(59))).owner == b);
    context.self = b;
    CHECK(decide(uuid_created(noon - seconds(59))).chosen_action == action::run);
    check_problem(key_problem::owner_changed, *once::parse_key("order-17"));
    context.now += configuration.resend_window;
    context.confirmed = context.now;
    CHECK(decide("order-17").chosen_action == action::run);
}

// Guards against an owner that runs keys although a list that it has not received names another
// one.
TEST(key_owner_policy, owner_without_confirmation_refuses) {
    context.confirmed = noon - configuration.owner_lease;
    check_problem(key_problem::not_confirmed, uuid_created(noon));
    context.confirmed = noon - configuration.owner_lease + seconds(4);
    CHECK(decide(uuid_created(noon)).chosen_action == action::run);
    configuration.key_owners.clear();
    check_problem(key_problem::no_owner, uuid_created(noon));
}
