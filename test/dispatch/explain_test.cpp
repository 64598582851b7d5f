#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using dispatch::refusal_kind;
using dispatch::service_decision;
using dispatch::target_obstacle;
using health::answer_kind;

namespace {

dispatch::explained_request make_query(const char* method, const char* path) {
    dispatch::explained_request query;
    query.method = method;
    query.host = "api.example";
    query.path = path;
    return query;
}

dispatch::core_options least_cost_options() {
    dispatch::core_options options;
    options.make_policy = [] { return std::make_unique<routing::least_cost>(); };
    return options;
}

/// Core with the policy that compares all targets, and random numbers of its own.
struct core_with_random {
    explicit core_with_random(const config::snapshot_ptr& configuration)
        : snapshot(configuration), core({"10.1.0.1", 80}, 7, at, least_cost_options(), random) {
        set_view({});
    }

    void set_view(const std::vector<std::string>& without) {
        core.set_view(test::make_view(snapshot, without),
                      std::make_shared<routing::route_table>(snapshot), at.now);
    }

    /// Starts a request. Returns its first step, or nothing if it waits.
    std::optional<traffic::step> begin(const std::string& path) {
        traffic::request_info info;
        info.id = ++last_id;
        info.method = "GET";
        info.path = path;
        info.body_replayable = true;
        info.arrived = at.now;
        info.deadline = at.now + seconds(10);
        core.begin_request(info, at);
        return core.poll(info.id, at);
    }

    /// Ends the attempt of the last request.
    void end(traffic::attempt_result result) {
        CHECK_TRUE(core.may_send(last_id, at));
        result.request_bytes_sent = true;
        result.sent = at.now;
        result.ended = at.now;
        if (!core.on_attempt_ended(last_id, result, at)) {
            core.finish_request(last_id, true, nullptr, at);
        }
    }

    dispatch::service_explanation explain_service(const char* path = "/stock") {
        return core.explain(make_query("GET", path), at.now).services.at(0);
    }

    config::snapshot_ptr snapshot;
    dispatch::clock_reading at{instant{} + seconds(100), wall_time{} + seconds(100)};
    seeded_random_source random{1};
    dispatch::decision_core core;
    std::uint64_t last_id{0};
};

std::vector<std::string> choices(const dispatch::service_explanation& service) {
    std::vector<std::string> names;
    for (const auto& it : service.targets) {
        if (it.is_choice) {
            names.push_back(it.id.value);
        }
    }
    return names;
}

} // namespace

TEST_GROUP(explain) {
    std::shared_ptr<config::snapshot> snapshot = test::make_snapshot(3, 4);

    std::optional<refusal_kind> refusal_of(const dispatch::explained_request& query) {
        core_with_random it(snapshot);
        return it.core.explain(query, it.at.now).refusal;
    }

    /// Checks what the only target of a service is said to be after an attempt with this result.
    static void check_after(const traffic::attempt_result& result, target_obstacle expected,
                            service_decision decision) {
        core_with_random it(test::make_snapshot(1, 4));
        CHECK(it.begin("/a").has_value());
        it.end(result);
        const auto shown = it.explain_service();
        const auto name = enum_name(dispatch::target_obstacle_names, expected);
        CHECK_TEXT(shown.targets.at(0).obstacle == expected, name.data());
        CHECK_TEXT(shown.decision == decision, name.data());
    }
};

// Guards against an explanation that differs from what happens to the next request.
TEST(explain, choice_is_that_of_the_next_request) {
    core_with_random it(snapshot);
    for (int i = 0; i < 12; ++i) {
        const auto names = choices(it.explain_service());
        const auto step = it.begin("/stock");
        if (!step) {
            CHECK(names.empty());
            break;
        }
        CHECK(std::ranges::find(names, step->target.value) != names.end());
    }
    CHECK(it.explain_service().decision == service_decision::waits);
}

// Guards against a query that changes a later decision: two cores with the same random numbers get
// the same requests, and only one of them is asked.
TEST(explain, query_changes_no_later_decision) {
    core_with_random asked(snapshot);
    core_with_random other(snapshot);
    for (int i = 0; i < 200; ++i) {
        static_cast<void>(asked.core.explain(make_query("GET", "/stock"), asked.at.now));
        const auto left = asked.begin("/stock");
        const auto right = other.begin("/stock");
        CHECK_EQUAL(left.has_value(), right.has_value());
        if (!left) {
            break;
        }
        CHECK(left->target == right->target);
        if (i % 3 != 0) {
            traffic::attempt_result result;
            result.kind = i % 7 == 0 ? answer_kind::shed : answer_kind::ok;
            result.reported_load = i % 5;
            result.rate_limit.per_second = i % 11 == 0 ? std::optional(2.5) : std::nullopt;
            asked.end(result);
            other.end(result);
        }
        asked.at.now += milliseconds(20);
        other.at.now += milliseconds(20);
    }
    CHECK_EQUAL(asked.core.active(), other.core.active());
    CHECK_EQUAL(asked.core.waiting(), other.core.waiting());
    CHECK_EQUAL(asked.random.next(), other.random.next());
}

// Guards against an operator who can't see why a target gets nothing.
TEST(explain, obstacles_are_named) {
    traffic::attempt_result paused;
    paused.pause = seconds(3);
    check_after(paused, target_obstacle::paused, service_decision::waits);
    traffic::attempt_result limited;
    limited.rate_limit.per_second = 0.0;
    check_after(limited, target_obstacle::rate_limit, service_decision::waits);
    traffic::attempt_result draining;
    draining.draining = true;
    check_after(draining, target_obstacle::draining, service_decision::refused);
    traffic::attempt_result misdirected;
    misdirected.misdirected = true;
    misdirected.kind = answer_kind::shed;
    check_after(misdirected, target_obstacle::misdirected, service_decision::refused);
    traffic::attempt_result shed;
    shed.kind = answer_kind::shed;
    check_after(shed, target_obstacle::backoff, service_decision::waits);
    check_after({}, target_obstacle::none, service_decision::sent);
}

// Guards against hiding that the view leaves a target out, or that this node uses its whole limit.
TEST(explain, limit_and_eligibility) {
    core_with_random it(test::make_snapshot(1, 4));
    CHECK(it.begin("/a").has_value());
    const auto full = it.explain_service();
    CHECK(full.targets.at(0).obstacle == target_obstacle::at_limit);
    CHECK(full.decision == service_decision::waits);
    LONGS_EQUAL(1, full.targets.at(0).limit);
    LONGS_EQUAL(1, full.targets.at(0).state.outstanding);
    it.set_view({"t0"});
    const auto left_out = it.explain_service();
    CHECK(left_out.targets.at(0).obstacle == target_obstacle::not_eligible);
    CHECK(left_out.decision == service_decision::refused);
}

// Guards against an explanation that leaves out a pending probe, which goes before the choice.
TEST(explain, probe_goes_first) {
    core_with_random it(snapshot);
    it.set_view({"t1"});
    it.core.request_probe(service_name("print"), target_id("t1"), it.at.now + seconds(1));
    const auto names = choices(it.explain_service());
    CHECK_EQUAL(1U, names.size());
    STRCMP_EQUAL("t1", names.front().c_str());
    const auto step = it.begin("/stock");
    STRCMP_EQUAL("t1", step->target.value.c_str());
    CHECK_EQUAL(2U, choices(it.explain_service()).size());
}

// Guards against shares that don't follow the weights of a split.
TEST(explain, shares_of_a_split) {
    snapshot->services.resize(2);
    snapshot->services[1].name = service_name("proof");
    snapshot->routes[0].split = {{service_name("print"), 3}, {service_name("proof"), 1}};
    core_with_random it(snapshot);
    const auto found = it.core.explain(make_query("GET", "/stock"), it.at.now);
    CHECK_EQUAL(2U, found.services.size());
    DOUBLES_EQUAL(0.75, found.services[0].share, 1e-9);
    CHECK(found.services[0].decision == service_decision::sent);
    DOUBLES_EQUAL(0.25, found.services[1].share, 1e-9);
    CHECK(found.services[1].decision == service_decision::refused);
}

// Guards against explaining a placement to a caller that is refused before.
TEST(explain, refusals_before_a_service_is_chosen) {
    CHECK(!refusal_of(make_query("GET", "/stock")));
    CHECK(refusal_of(make_query("GET", "/../..")) == refusal_kind::bad_path);
    auto late = make_query("GET", "/stock");
    late.time_left = milliseconds(0);
    CHECK(refusal_of(late) == refusal_kind::deadline_passed);
    snapshot->routes[0].methods = {"GET"};
    CHECK(refusal_of(make_query("PUT", "/stock")) == refusal_kind::method_not_allowed);
    snapshot->routes[0].host = "other.example";
    CHECK(refusal_of(make_query("GET", "/stock")) == refusal_kind::no_route);
    core_with_random stopped(snapshot);
    stopped.core.stop(stopped.at.now);
    CHECK(stopped.core.explain(make_query("GET", "/runs"), stopped.at.now).refusal ==
          refusal_kind::stopping);
}

// Guards against showing a workspace that is unknown, or hiding its limit.
TEST(explain, workspace_and_limits) {
    config::workspace limited;
    limited.name = workspace_name("w1");
    limited.requests_per_second = 5.0;
    snapshot->workspaces = {limited};
    snapshot->authentication = config::caller_authentication::api_key;
    auto query = make_query("GET", "/stock");
    CHECK(refusal_of(query) == refusal_kind::unauthenticated);
    query.workspace = "w2";
    CHECK(refusal_of(query) == refusal_kind::unauthenticated);
    query.workspace = "w1";
    query.body_bytes = snapshot->routes[0].max_body_bytes + 1;
    query.time_left = std::chrono::hours(1);
    core_with_random it(snapshot);
    const auto found = it.core.explain(query, it.at.now);
    CHECK(!found.refusal);
    CHECK(found.is_body_too_large);
    DOUBLES_EQUAL(5.0, found.workspace->requests_per_second, 1e-9);
    CHECK(found.time_left == snapshot->routes[0].limits.total);
}
