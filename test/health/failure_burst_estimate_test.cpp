#include "wigeonrill/health.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace std::chrono_literals;
using health::observation_kind;

TEST_GROUP(failure_burst_estimate) {
    health::failure_burst_estimate it;
    instant now{instant{} + 100s};
};

// Guards against further requests to a target that has just failed. The fleet sends it one every
// 0.3 s, and a burst of failures lasts 5 to 7 s.
TEST(failure_burst_estimate, one_failure_makes_a_target_suspect) {
    CHECK(it.probability(now) < 0.1);
    it.add(observation_kind::failed, now);
    CHECK(it.probability(now) > 0.5);
}

// Guards against a target that is avoided forever after a burst of failures.
TEST(failure_burst_estimate, decays_within_the_length_of_a_burst) {
    it.add(observation_kind::failed, now);
    it.add(observation_kind::failed, now);
    it.add(observation_kind::failed, now);
    CHECK(it.probability(now + 2s) > 0.5);
    CHECK(it.probability(now + 6s) < 0.5);
    CHECK(it.probability(now - 1s) > 0.9);
}

// Guards against avoiding a healthy target for seconds after a rare single failure.
TEST(failure_burst_estimate, successes_clear_a_single_failure) {
    it.add(observation_kind::failed, now);
    it.add(observation_kind::good, now);
    it.add(observation_kind::good, now);
    CHECK(it.probability(now) < 0.2);
}

// Guards against a long time without failures that delays the detection of the next one.
TEST(failure_burst_estimate, many_successes_do_not_delay_the_next_detection) {
    for (int i = 0; i < 1'000; ++i) {
        it.add(observation_kind::good, now);
    }
    it.add(observation_kind::failed, now);
    CHECK(it.probability(now) > 0.5);
    CHECK(health::failure_burst_estimate{}.probability(now) < 0.1);
}
