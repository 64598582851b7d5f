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

// Guards against a request that crashes one target after the other, and against a refusal after a
// single target crashed twice.
TEST(crash_containment, crashes_of_two_targets_block_a_request_for_10_minutes) {
    mark(1, "t1", noon);
    mark(1, "t1", noon + seconds(1));
    CHECK_FALSE(containment.is_blocked(1, noon + seconds(1)));
    mark(1, "t2", noon + seconds(2));
    CHECK_TRUE(containment.is_blocked(1, noon + seconds(2)));
    CHECK_FALSE(containment.is_blocked(2, noon + seconds(2)));
    CHECK_TRUE(containment.is_blocked(1, noon + seconds(600)));
    CHECK_FALSE(containment.is_blocked(1, noon + seconds(601)));
}

// Guards against refusing a frequent, harmless request after the loss of a failure domain, also
// when old marks arrive late from peers.
TEST(crash_containment, success_clears_earlier_marks) {
    mark(1, "t1", noon);
    mark(1, "t2", noon);
    containment.on_success(1, noon + seconds(1));
    CHECK_FALSE(containment.is_blocked(1, noon + seconds(1)));
    containment.add({1, target_id("t3"), noon}, noon + seconds(2));
    containment.add({1, target_id("t4"), noon}, noon + seconds(2));
    CHECK_FALSE(containment.is_blocked(1, noon + seconds(2)));
    mark(1, "t1", noon + seconds(3));
    mark(1, "t2", noon + seconds(3));
    CHECK_TRUE(containment.is_blocked(1, noon + seconds(3)));
}

// Guards against marks that count for hours because the clock of a peer is ahead, and against
// unbounded memory.
TEST(crash_containment, future_marks_are_dated_to_now_and_memory_is_bounded) {
    containment.add({1, target_id("t1"), noon + std::chrono::hours(5)}, noon);
    containment.add({1, target_id("t2"), noon + std::chrono::hours(5)}, noon);
    CHECK_FALSE(containment.is_blocked(1, noon + std::chrono::minutes(10)));
    for (std::uint64_t i = 0; i < 20'000; ++i) {
        mark(i, "t1", noon);
    }
    CHECK(containment.size() <= 8192);
}

// Guards against sending a blocked request again because many other requests were in flight when
// targets crashed.
TEST(crash_containment, other_marks_do_not_displace_a_blocked_request) {
    mark(1, "t1", noon);
    mark(1, "t2", noon);
    for (std::uint64_t i = 2; i < 20'000; ++i) {
        mark(i, "t1", noon + seconds(1));
    }
    CHECK_TRUE(containment.is_blocked(1, noon + seconds(1)));
    CHECK(containment.size() <= 8192);
    mark(20'000, "t1", noon + seconds(2));
    for (std::uint64_t i = 30'000; i < 31'000; ++i) {
        mark(i, "t1", noon + seconds(2));
    }
    mark(20'000, "t2", noon + seconds(2));
    CHECK_TRUE(containment.is_blocked(20'000, noon + seconds(2)));
}
