#include "wigeonrill/routing.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using routing::concurrency_limiter;

namespace {

void fill_and_answer(concurrency_limiter& limiter, instant now) {
    std::uint32_t n = 0;
    while (limiter.can_acquire(now)) {
        limiter.acquire();
        ++n;
    }
    for (; n > 0; --n) {
        limiter.on_answer();
        limiter.release();
    }
}

} // namespace

TEST_GROUP(concurrency_limiter){};

// Guards against an initial burst: a new process must not fill a target that others already use.
TEST(concurrency_limiter, starts_at_one_and_grows_by_one_per_limit) {
    concurrency_limiter limiter(3);
    CHECK_EQUAL(1U, limiter.limit());
    fill_and_answer(limiter, instant{});
    CHECK_EQUAL(2U, limiter.limit());
    fill_and_answer(limiter, instant{});
    CHECK_EQUAL(3U, limiter.limit());
    fill_and_answer(limiter, instant{});
    CHECK_EQUAL(3U, limiter.limit()); // the target's slots
}

// Guards against raising a limit that is not reached, which would allow a burst later.
TEST(concurrency_limiter, does_not_grow_while_the_limit_is_not_reached) {
    concurrency_limiter limiter(6);
    fill_and_answer(limiter, instant{});
    for (int i = 0; i < 100; ++i) {
        limiter.acquire();
        limiter.on_answer();
        limiter.release();
    }
    CHECK_EQUAL(2U, limiter.limit());
}

// Guards against halving the limit once per request in flight in the same overload.
TEST(concurrency_limiter, halves_once_per_overload) {
    concurrency_limiter limiter(8);
    for (int i = 0; i < 7; ++i) {
        fill_and_answer(limiter, instant{});
    }
    CHECK_EQUAL(8U, limiter.limit());
    const auto sent = instant{} + seconds(1);
    limiter.on_shed(sent, sent + milliseconds(5), 0.0);
    limiter.on_shed(sent, sent + milliseconds(6), 0.0);
    CHECK_EQUAL(4U, limiter.limit());
    limiter.on_shed(sent + milliseconds(7), sent + milliseconds(9), 0.0);
    CHECK_EQUAL(2U, limiter.limit());
}

// Guards against each of 36 nodes sending to a full target again at once.
TEST(concurrency_limiter, backoff_doubles_with_each_shed_at_limit_one) {
    concurrency_limiter limiter(6);
    auto now = instant{} + seconds(1);
    limiter.on_shed(now, now, 0.5);
    CHECK_FALSE(limiter.can_acquire(now + milliseconds(19)));
    CHECK_TRUE(limiter.can_acquire(now + milliseconds(20)));
    now += seconds(1);
    limiter.on_shed(now, now, 0.5);
    CHECK_FALSE(limiter.can_acquire(now + milliseconds(39)));
    limiter.on_answer();
    now += seconds(1);
    limiter.on_shed(now, now, 0.5);
    CHECK_TRUE(limiter.can_acquire(now + milliseconds(20)));
}
