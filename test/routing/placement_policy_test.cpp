#include "wigeonrill/routing.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using routing::placement_candidate;

namespace {

template <typename Policy>
std::vector<int> counts_of(const std::vector<placement_candidate>& candidates, int draws) {
    Policy policy;
    seeded_random_source random(7);
    std::vector<int> counts(candidates.size());
    for (int i = 0; i < draws; ++i) {
        ++counts.at(policy.choose(candidates, random));
    }
    return counts;
}

} // namespace

TEST_GROUP(placement_policy){};

// Guards against a choice that ignores load: the most loaded target must never be chosen over
// another.
TEST(placement_policy, two_choices_avoid_the_most_loaded) {
    const auto counts =
        counts_of<routing::two_random_choices>({{6.0, 1, 0.0}, {6.0, 5, 0.0}, {6.0, 0, 2.0}}, 1000);
    CHECK_EQUAL(0, counts[1]);
    CHECK(counts[0] > 300);
}

// Guards against giving a target with a low weight a full share while all targets are idle.
TEST(placement_policy, two_choices_follow_the_weight_at_low_load) {
    const auto counts = counts_of<routing::two_random_choices>(
        {{6.0, 0, 0.0}, {6.0, 0, 0.0}, {0.6, 0, 0.0}, {6.0, 0, 0.0}}, 10'000);
    CHECK(counts[2] > 150 && counts[2] < 600);
    CHECK(counts[0] > 2'800 && counts[0] < 3'600);
}

// Guards against baseline policies that don't choose by turn or by the fewest outstanding requests.
TEST(placement_policy, baselines_choose_by_turn_and_by_outstanding_requests) {
    const std::vector<placement_candidate> candidates{{6.0, 2, 0.0}, {6.0, 1, 0.0}, {6.0, 1, 9.0}};
    const auto turns = counts_of<routing::round_robin>(candidates, 9);
    CHECK(turns == std::vector<int>({3, 3, 3}));
    const auto least = counts_of<routing::least_outstanding>(candidates, 1000);
    CHECK_EQUAL(0, least[0]);
    CHECK(least[1] > 400 && least[2] > 400);
}

// Guards against a wrong or stale load report that excludes a target.
TEST(placement_policy, load_hint_is_bounded_and_expires) {
    routing::load_hint hint;
    const instant start{};
    hint.report(1'000'000, 6, start);
    DOUBLES_EQUAL(12.0, hint.at(start), 0.0);
    DOUBLES_EQUAL(6.0, hint.at(start + milliseconds(500)), 1e-9);
    DOUBLES_EQUAL(0.0, hint.at(start + seconds(1)), 0.0);
    hint.report(-1, 6, start + seconds(4));
    DOUBLES_EQUAL(0.0, hint.at(start + seconds(4)), 0.0);
}
