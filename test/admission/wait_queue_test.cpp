#include "wigeonrill/admission.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;

TEST_GROUP(wait_queue){};

// Guards against unbounded queues and against starving the request that waited longest.
TEST(wait_queue, serves_the_oldest_and_refuses_the_newest) {
    admission::wait_queue queue(2);
    const instant start{};
    CHECK_TRUE(queue.push(1, start + milliseconds(2), start + seconds(1)));
    CHECK_TRUE(queue.push(2, start + milliseconds(1), start + seconds(1)));
    CHECK_FALSE(queue.push(3, start, start + seconds(1)));
    CHECK(queue.oldest(5) == std::vector<std::uint64_t>({2, 1}));
}

// Guards against a request that stays in the queue after its deadline, and against one that is
// taken out before it.
TEST(wait_queue, expires_at_the_deadline) {
    admission::wait_queue queue(4);
    const instant start{};
    CHECK_TRUE(queue.push(1, start, start + milliseconds(10)));
    CHECK_TRUE(queue.push(2, start, start + milliseconds(20)));
    CHECK(queue.expire(start + milliseconds(9)).empty());
    CHECK(queue.expire(start + milliseconds(10)) == std::vector<std::uint64_t>({1}));
    CHECK_EQUAL(1U, queue.size());
    queue.remove(2);
    CHECK_EQUAL(0U, queue.size());
}
