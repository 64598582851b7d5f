#include "wigeonrill/health.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;

TEST_GROUP(failure_share){};

// Guards against an estimate that ignores the other nodes' requests, or that stays high after the
// failures have ended.
TEST(failure_share, follows_the_failures_of_the_fleet) {
    health::failure_share share;
    const instant start{seconds(100)};
    CHECK(share.at(start, 10) == 0.0);
    // This node gets 2 requests/s for 30 s. In the last 10 s the fleet of 10 has 4 failures/s.
    for (int i = 0; i < 60; ++i) {
        const auto now = start + milliseconds(500) * i;
        share.on_request(now);
        if (i >= 40) {
            share.on_failure(now);
            share.on_failure(now);
        }
    }
    const auto end = start + seconds(30);
    const double estimate = share.at(end, 10);
    CHECK(estimate > 0.14 && estimate < 0.26);
    CHECK(share.at(end + seconds(4), 10) < estimate / 3.0);
}
