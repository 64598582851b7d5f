#include "wigeonrill/once.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;

TEST_GROUP(crash_containment) {
    once::crash_containment containment;
    const wall_time noon = wall_time{} + std::chrono::hours(500'000);

    void mark(std::uint64_t fingerprint, const char* target, wall_time when) {
        containment.add({fingerprint, target_id(target), when}, when);
    }
};

// Guards against a request that kills one target after the other, and against a refusal after one
// target died twice for reasons of its own.
TEST(crash_containment, two_targets_hold_a_request_back_for_10_minutes) {
    mark(1, "t1", noon);
    mark(1, "t1", noon + seconds(1));
    CHECK_FALSE(containment.refused(1, noon + seconds(1)));
    mark(1, "t2", noon + seconds(2));
    CHECK_TRUE(containment.refused(1, noon + seconds(2)));
    CHECK_FALSE(containment.refused(2, noon + seconds(2)));
    CHECK_TRUE(containment.refused(1, noon + seconds(600)));
    CHECK_FALSE(containment.refused(1, noon + seconds(601)));
}

// Guards against refusing a popular harmless request everywhere after a failure domain died, also
// when old marks arrive late from peers.
TEST(crash_containment, success_clears_earlier_marks) {
    mark(1, "t1", noon);
    mark(1, "t2", noon);
    containment.on_success(1, noon + seconds(1));
    CHECK_FALSE(containment.refused(1, noon + seconds(1)));
    containment.add({1, target_id("t3"), noon}, noon + seconds(2));
    containment.add({1, target_id("t4"), noon}, noon + seconds(2));
    CHECK_FALSE(containment.refused(1, noon + seconds(2)));
    mark(1, "t1", noon + seconds(3));
    mark(1, "t2", noon + seconds(3));
    CHECK_TRUE(containment.refused(1, noon + seconds(3)));
}

// Guards against a peer with a fast clock whose marks would count for hours, and against memory
// that grows with every mark.
TEST(crash_containment, marks_are_clipped_and_bounded) {
    containment.add({1, target_id("t1"), noon + std::chrono::hours(5)}, noon);
    containment.add({1, target_id("t2"), noon + std::chrono::hours(5)}, noon);
    CHECK_FALSE(containment.refused(1, noon + std::chrono::minutes(10)));
    for (std::uint64_t i = 0; i < 20'000; ++i) {
        mark(i, "t1", noon);
    }
    CHECK(containment.size() <= 8192);
}
