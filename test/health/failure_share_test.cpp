#include "wigeonrill/health.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using health::observation_kind;

TEST_GROUP(failure_share) {
    health::failure_share share;
    instant now{seconds(100)};

    void add(observation_kind kind, int count) {
        for (int i = 0; i < count; ++i) {
            share.add(kind, now);
        }
    }
};

// Guards against one failure of a quiet service that counts as trouble of the whole.
TEST(failure_share, single_failure_is_no_trouble) {
    add(observation_kind::failed, 1);
    CHECK(share.at(now) <= 0.1);
}

// Guards against work kept on few targets while a tenth of the answers fail.
TEST(failure_share, is_the_share_of_recent_answers) {
    add(observation_kind::good, 90);
    add(observation_kind::failed, 10);
    add(observation_kind::load_only, 50);
    DOUBLES_EQUAL(0.1, share.at(now), 1e-9);
    now += seconds(10);
    add(observation_kind::good, 100);
    CHECK(share.at(now) < 0.01);
}
