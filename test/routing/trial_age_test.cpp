#include "wigeonrill/routing.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using routing::choose_trial_age;

namespace {

std::vector<nanoseconds> rests_of(std::size_t n, milliseconds rest) {
    return std::vector<nanoseconds>(n, rest);
}

} // namespace

TEST_GROUP(trial_age){};

// Guards against a suspected target that is never tried again, whatever the other ones do.
TEST(trial_age, every_rest_ends) {
    for (std::size_t suspected = 1; suspected <= 40; ++suspected) {
        for (std::size_t in_use = 0; in_use <= 200; in_use += 5) {
            for (int ms = 0; ms <= 12'000; ms += 250) {
                const auto age = choose_trial_age(rests_of(suspected, milliseconds(ms)), in_use);
                CHECK(age <= routing::max_rest);
                CHECK(ms < 10'000 || milliseconds(ms) >= age);
            }
        }
    }
}

// Guards against trials of targets that have just failed, each of which costs a caller its answer,
// even when all of them have.
TEST(trial_age, a_target_that_just_failed_rests) {
    for (const std::size_t in_use : {0, 1, 10, 60}) {
        CHECK(choose_trial_age(rests_of(20, milliseconds(1'500)), in_use) > milliseconds(1'500));
    }
}

// Guards against a cohort of targets whose first failures came together and that all rest until the
// mean recovery time has passed. At most 0.3 of the targets without a bad answer for settling_time
// may be out of use.
TEST(trial_age, a_cohort_is_tried_before_it_has_settled) {
    constexpr std::size_t cohort = 40;
    for (const std::size_t in_use : {0, 10, 55}) {
        std::vector<nanoseconds> rests;
        for (std::size_t i = 0; i < cohort; ++i) {
            rests.push_back(routing::settling_time - milliseconds(10) * static_cast<int>(i));
        }
        const auto age = choose_trial_age(rests, in_use);
        const auto untried =
            std::ranges::count_if(rests, [&](const nanoseconds it) { return it < age; });
        CHECK(static_cast<double>(untried) <= 0.3 * static_cast<double>(in_use + cohort));
    }
}

// Guards against trials of each target that failed while most others are in use.
TEST(trial_age, few_suspected_targets_rest_on) {
    CHECK(choose_trial_age(rests_of(5, milliseconds(2'100)), 60) > milliseconds(2'100));
}

// Guards against healthy capacity out of use while many targets are suspected: the more of them,
// the sooner the first are tried.
TEST(trial_age, many_suspected_targets_rest_shorter) {
    std::vector<nanoseconds> rests;
    auto previous = choose_trial_age(rests, 60);
    CHECK(previous == routing::max_rest);
    for (int i = 0; i < 40; ++i) {
        rests.push_back(milliseconds(250 * i));
        const auto age = choose_trial_age(rests, 60 - static_cast<std::size_t>(i));
        CHECK(age <= previous);
        previous = age;
    }
    CHECK(previous < seconds(6));
}

// Guards against a choice that depends on the order in which a node lists its targets.
TEST(trial_age, order_of_the_rests_is_irrelevant) {
    std::vector<nanoseconds> rests(20);
    for (std::size_t i = 0; i < rests.size(); ++i) {
        rests[i] = milliseconds(400 * i);
    }
    auto reversed = rests;
    std::ranges::reverse(reversed);
    CHECK(choose_trial_age(rests, 30) == choose_trial_age(reversed, 30));
}
