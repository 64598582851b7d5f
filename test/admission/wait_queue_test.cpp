#include "wigeonrill/admission.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using ids = std::vector<std::uint64_t>;

namespace {

constexpr instant start{seconds(100)};

// A request whose work takes 100 ms.
admission::urgency make_urgency(std::uint32_t priority, milliseconds target, milliseconds deadline,
                                milliseconds arrived = milliseconds(0)) {
    return {priority,
            start + arrived,
            start + target,
            start + deadline,
            {milliseconds(100), milliseconds(20)}};
}

admission::wait_queue make_queue(std::size_t limit = 8) {
    return admission::wait_queue(limit);
}

} // namespace

TEST_GROUP(wait_queue){};

// Guards against an unbounded queue, and, among requests that differ in nothing else, against
// starving the one that has waited longest.
TEST(wait_queue, returns_the_oldest_of_equals_first_and_refuses_when_full) {
    auto queue = make_queue(2);
    CHECK_TRUE(
        queue.push(1, make_urgency(0, milliseconds(1'000), milliseconds(1'000), milliseconds(2))));
    CHECK_TRUE(
        queue.push(2, make_urgency(0, milliseconds(1'000), milliseconds(1'000), milliseconds(1))));
    CHECK_FALSE(queue.push(3, make_urgency(0, milliseconds(1'000), milliseconds(1'000))));
    CHECK(queue.in_order(start) == ids({2, 1}));
}

// Guards against keeping a request in the queue after its deadline, and against removing it before
// when nothing is known about its work.
TEST(wait_queue, unmeasured_requests_wait_until_their_deadlines) {
    auto queue = make_queue();
    CHECK_TRUE(queue.push(1, {0, start, start + milliseconds(5), start + milliseconds(10), {}}));
    CHECK_TRUE(queue.push(2, {0, start, start + milliseconds(20), start + milliseconds(20), {}}));
    CHECK(queue.remove_hopeless(start + milliseconds(9)).empty());
    CHECK(queue.remove_hopeless(start + milliseconds(10)) == ids({1}));
    LONGS_EQUAL(1, queue.size());
    queue.remove(2);
    LONGS_EQUAL(0, queue.size());
    CHECK(queue.priorities().empty());
}

// Guards against an order by arrival, in which urgent requests wait behind others and requests that
// are late in any case make others late too.
TEST(wait_queue, orders_by_priority_then_by_chance_then_by_time_left) {
    auto queue = make_queue();
    CHECK_TRUE(queue.push(1, make_urgency(2, milliseconds(150), milliseconds(200))));
    CHECK_TRUE(queue.push(2, make_urgency(1, milliseconds(900), milliseconds(5'000))));
    CHECK_TRUE(queue.push(3, make_urgency(1, milliseconds(300), milliseconds(5'000))));
    CHECK_TRUE(queue.push(4, make_urgency(1, milliseconds(150), milliseconds(4'000))));
    CHECK(queue.in_order(start) == ids({4, 3, 2, 1}));
    // The fourth can't be answered within its target latency any more.
    CHECK(queue.in_order(start + milliseconds(60)) == ids({3, 2, 4, 1}));
    LONGS_EQUAL(1, queue.last_below(1, start).value());
    CHECK_FALSE(queue.last_below(2, start).has_value());
}

// Guards against holding a request that can't be answered in time, so that its caller learns too
// late that it has to do something else.
TEST(wait_queue, requests_whose_work_does_not_fit_are_removed_at_once) {
    auto queue = make_queue();
    CHECK_TRUE(queue.push(1, make_urgency(0, milliseconds(200), milliseconds(500))));
    CHECK(queue.remove_hopeless(start + milliseconds(399)).empty());
    CHECK(queue.remove_hopeless(start + milliseconds(400)) == ids({1}));
}

// Guards against an estimate that counts requests which come later in the order.
TEST(wait_queue, only_requests_ahead_count_for_the_wait) {
    auto queue = make_queue(100);
    for (std::uint64_t i = 1; i <= 40; ++i) {
        CHECK_TRUE(queue.push(i, make_urgency(1, milliseconds(1'000), milliseconds(5'000))));
    }
    const auto ahead_of = [&](std::uint32_t priority, milliseconds target) {
        return queue.ahead_of(make_urgency(priority, target, milliseconds(5'000)), start);
    };
    LONGS_EQUAL(0, ahead_of(0, milliseconds(2'000)));
    LONGS_EQUAL(0, ahead_of(1, milliseconds(900)));
    LONGS_EQUAL(40, ahead_of(1, milliseconds(2'000)));
    LONGS_EQUAL(40, ahead_of(2, milliseconds(900)));
}
