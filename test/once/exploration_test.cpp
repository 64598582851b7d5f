#include "fleet_model.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace wigeonrill;
using test::scenario;

namespace {

const wall_time noon = wall_time{} + std::chrono::hours(500'000);

// Returns a UUID version 7 with this creation time. The number distinguishes keys.
std::string uuid_at(wall_time when, int n) {
    const auto ms = std::chrono::duration_cast<milliseconds>(when.time_since_epoch()).count();
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%08llx-%04llx-7000-8000-%012d",
                  static_cast<unsigned long long>(ms >> 16U),
                  static_cast<unsigned long long>(ms & 0xffffU), n);
    return text.data();
}

struct explored {
    std::uint64_t orders{0};      ///< number of event orders tried
    std::uint64_t violations{0};  ///< orders that violated a guarantee
    std::uint64_t single_runs{0}; ///< orders in which each key ran exactly once
};

// Tries all event orders of a scenario.
explored explore(const scenario& plan) {
    explored result;
    test::choice_enumerator choices;
    while (choices.next()) {
        test::fleet_model model(plan);
        while (!model.violated && model.perform_next(choices)) {
        }
        ++result.orders;
        result.violations += model.violated ? 1 : 0;
        result.single_runs += std::ranges::all_of(model.runs, [](int n) { return n == 1; }) ? 1 : 0;
    }
    if (std::getenv("WIGEONRILL_SHOW_ORDERS") != nullptr) {
        std::printf("%llu orders, %llu violations, %llu with one run\n",
                    static_cast<unsigned long long>(result.orders),
                    static_cast<unsigned long long>(result.violations),
                    static_cast<unsigned long long>(result.single_runs));
    }
    return result;
}

// Returns a scenario in which all nodes know the same owners, with one key.
scenario same_owners(std::size_t nodes, std::size_t owners, std::string key) {
    scenario plan;
    config::key_owner_set set;
    for (std::size_t i = 0; i < owners; ++i) {
        set.owners.push_back(test::node_address(i));
    }
    plan.owners.assign(nodes, {set});
    plan.confirmed.assign(nodes, noon);
    plan.keys = {std::move(key)};
    return plan;
}

} // namespace

TEST_GROUP(exploration){void check_safe(const scenario& plan){const auto result = explore(plan);
CHECK(result.orders > 100);
CHECK(result.single_runs > 0);
UNSIGNED_LONGLONGS_EQUAL(0, result.violations);
}
}
;

// Guards against rules that are safe only because they refuse requests. Without faults each event
// order must end with exactly one run.
TEST(exploration, runs_exactly_once_without_faults) {
    for (const auto& key : {std::string(), uuid_at(noon - seconds(1), 0), std::string("k")}) {
        auto plan = same_owners(2, 1, key);
        plan.max_faults = 0;
        const auto result = explore(plan);
        UNSIGNED_LONGLONGS_EQUAL(0, result.violations);
        UNSIGNED_LONGLONGS_EQUAL(result.orders, result.single_runs);
    }
}

// The following tests guard against a second run and a false "not-run" in any order of sends to any
// node, crashes with restart, connections between nodes that break before or after delivery,
// resends, late answers, pauses and sheds. The comment of each test names the code change that
// makes it fail.

// Fails when key_owner_policy runs issued keys of another incarnation.
TEST(exploration, issued_key) {
    check_safe(same_owners(2, 1, ""));
}

// Fails when age_problem() doesn't compare the key with the start of the process, or when
// outcome_of() returns "not-run" for a key that the request does not hold.
TEST(exploration, uuid_key) {
    auto plan = same_owners(2, 1, uuid_at(noon - seconds(1), 0));
    plan.planned_stops = true;
    check_safe(plan);
}

// Fails when age_problem() accepts keys without a creation time at any uptime, or when retention()
// is half as long. The request is resent within the window of 10 minutes.
TEST(exploration, other_key) {
    auto plan = same_owners(2, 1, "k");
    plan.time_jump = std::chrono::minutes(9);
    check_safe(plan);
}

// Fails when may_retry() allows an at-most-once request after a lost connection.
TEST(exploration, three_sends) {
    auto plan = same_owners(2, 1, uuid_at(noon - seconds(1), 0));
    plan.sends_per_key = 3;
    plan.max_faults = 1;
    check_safe(plan);
}

// Fails when after_forward() returns "not-run".
TEST(exploration, two_keys_and_three_nodes) {
    auto plan = same_owners(3, 3, uuid_at(noon - seconds(1), 1));
    plan.keys.push_back(uuid_at(noon - seconds(1), 4));
    plan.sends_per_key = 1;
    plan.max_faults = 1;
    check_safe(plan);
    plan.keys.pop_back();
    plan.sends_per_key = 2;
    plan.max_faults = 2;
    check_safe(plan);
}

// Fails when the age of a key is not compared with the resend window.
TEST(exploration, resend_after_the_window) {
    for (const auto& key : {std::string(), uuid_at(noon - seconds(1), 0)}) {
        auto plan = same_owners(2, 1, key);
        plan.time_jump = std::chrono::minutes(11);
        plan.max_faults = key.empty() ? 2 : 1; // both kinds of key take the same path otherwise
        check_safe(plan);
    }
}

// The caller's clock is 2 s ahead, and the clock of the VM that replaces the owner is 2 s behind.
// Fails when age_problem() allows for one clock skew after the start instead of two.
TEST(exploration, replacement_with_a_slow_clock) {
    auto plan = same_owners(2, 1, uuid_at(noon + once::max_clock_skew, 0));
    plan.replacement_skew = -once::max_clock_skew;
    check_safe(plan);
}

// One node has not received the new list of owners. Fails when is_confirmed() always returns true,
// or without its margin of two clock skews.
TEST(exploration, owner_with_an_old_list) {
    const auto change = noon + seconds(10);
    const config::key_owner_set before{wall_time{}, {test::node_address(0)}};
    const config::key_owner_set after{change, {test::node_address(1)}};
    auto plan = same_owners(2, 1, uuid_at(change + seconds(1), 0));
    plan.owners = {{before}, {before, after}};
    plan.confirmed[0] = change - config::snapshot{}.owner_lease;
    plan.time_jump = milliseconds(9'500); // then the key is within the clock skew
    check_safe(plan);
}
