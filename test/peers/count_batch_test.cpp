#include "wigeonrill/peers.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::peers;

namespace {

health::observation count(const char* target, std::int32_t outstanding,
                          health::observation_kind kind = health::observation_kind::load_only) {
    return {service_name("stock"), target_id(target), kind, outstanding, {}};
}

} // namespace

TEST_GROUP(count_batch) {
    count_batch batch;
};

// Guards against a message for each change: a node of the grown sites sent 1,365 a second.
TEST(count_batch, keeps_the_latest_number_of_each_target) {
    batch.add(count("a", 1));
    batch.add(count("b", 2));
    batch.add(count("a", 0));
    const auto waiting = batch.take();
    LONGS_EQUAL(2, waiting.size());
    CHECK(waiting.at(0) == count("a", 0));
    CHECK(waiting.at(1) == count("b", 2));
    CHECK(batch.empty());
}

// Guards against a success that is lost because the target's next request replaces its report.
TEST(count_batch, keeps_a_success) {
    batch.add(count("a", 0, health::observation_kind::good));
    batch.add(count("a", 1));
    CHECK(batch.take().at(0) == count("a", 1, health::observation_kind::good));
}
