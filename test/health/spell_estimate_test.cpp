#include "wigeonrill/health.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace std::chrono_literals;
using health::observation_kind;

TEST_GROUP(spell_estimate) {
    health::spell_estimate it;
    instant now{instant{} + 100s};
};

// Guards against orders that go on to a target that has just failed: it gets one every 0.3 s from
// the fleet, and a spell lasts 5 to 7 s.
TEST(spell_estimate, one_failure_makes_a_target_suspect) {
    CHECK(it.probability(now) < 0.1);
    it.add(observation_kind::failed, now);
    CHECK(it.probability(now) > 0.5);
}

// Guards against a target that is left alone for good after a spell.
TEST(spell_estimate, forgets_within_the_length_of_a_spell) {
    it.add(observation_kind::failed, now);
    it.add(observation_kind::failed, now);
    it.add(observation_kind::failed, now);
    CHECK(it.probability(now + 2s) > 0.5);
    CHECK(it.probability(now + 6s) < 0.5);
    CHECK(it.probability(now - 1s) > 0.9);
}

// Guards against a rare failure of a healthy target that takes its capacity away for seconds.
TEST(spell_estimate, successes_clear_a_single_failure) {
    it.add(observation_kind::failed, now);
    it.add(observation_kind::good, now);
    it.add(observation_kind::good, now);
    CHECK(it.probability(now) < 0.2);
}

// Guards against a long calm that makes the next detection slower.
TEST(spell_estimate, a_long_calm_does_not_slow_the_next_detection) {
    for (int i = 0; i < 1'000; ++i) {
        it.add(observation_kind::good, now);
    }
    it.add(observation_kind::failed, now);
    CHECK(it.probability(now) > 0.5);
    CHECK(health::spell_estimate{}.probability(now) < 0.1);
}
