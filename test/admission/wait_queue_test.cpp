#include "wigeonrill/admission.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;

TEST_GROUP(wait_queue){};

// Guards against an unbounded queue and against starving the request that has waited longest.
TEST(wait_queue, returns_the_oldest_first_and_refuses_when_full) {
    admission::wait_queue queue(2);
    const instant start{};
    CHECK_TRUE(queue.push(1, start + milliseconds(2), start + seconds(1)));
    CHECK_TRUE(queue.push(2, start + milliseconds(1), start + seconds(1)));
    CHECK_FALSE(queue.push(3, start, start + seconds(1)));
    CHECK(queue.oldest(5) == std::vector<std::uint64_t>({2, 1}));
}

// Guards against keeping a request in the queue after its deadline, and against removing it before.
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
