#include "wigeonrill/once.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;

TEST_GROUP(send_guard){};

// Guards against sending after the deadline, also when the VM was suspended and the monotonic clock
// did not advance.
TEST(send_guard, checks_both_clocks) {
    const wall_time noon = wall_time{} + std::chrono::hours(500'000);
    const once::send_guard guard{instant{}, noon, instant{} + seconds(5)};
    CHECK_TRUE(guard.may_send(instant{} + seconds(4), noon + seconds(4)));
    CHECK_FALSE(guard.may_send(instant{} + seconds(5), noon + seconds(5)));
    CHECK_FALSE(guard.may_send(instant{} + seconds(1), noon + seconds(7)));
}
