#include "wigeonrill/admission.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;

TEST_GROUP(budget) {
    instant now{};
};

// Guards against retries that multiply the load of a service in which every request fails.
TEST(budget, retries_are_limited_to_a_tenth_of_the_requests) {
    auto budget = admission::make_retry_budget();
    int taken = 0;
    for (int i = 0; i < 10'000; ++i) {
        now += milliseconds(1);
        budget.on_request(now);
        taken += budget.take(now) ? 1 : 0;
    }
    // 1,000 for 10,000 requests, 10 of the initial balance, and 5 in 10 s by the constant rate.
    CHECK(taken >= 1'000 && taken <= 1'015);
}

// Guards against a service with few requests that never gets a retry, and against a balance that
// grows without limit while there are no failures.
TEST(budget, balance_grows_at_the_constant_rate_up_to_the_cap) {
    auto budget = admission::make_retry_budget();
    while (budget.take(now)) {
    }
    CHECK_FALSE(budget.take(now + milliseconds(500)));
    CHECK_TRUE(budget.take(now + seconds(2)));
    CHECK_TRUE(budget.take(now + std::chrono::hours(5)));
    CHECK(budget.balance() <= 9.0);
}

// Guards against one workspace that uses the whole capacity of a node, and against a table that
// grows with workspaces that have no limit.
TEST(budget, workspace_allowance_limits_only_configured_workspaces) {
    config::workspace small;
    small.name = workspace_name("small");
    small.requests_per_second = 2.0;
    config::workspace free;
    free.name = workspace_name("free");
    admission::workspace_allowance allowance;
    CHECK_TRUE(allowance.take(small, now));
    CHECK_TRUE(allowance.take(small, now));
    CHECK_FALSE(allowance.take(small, now));
    CHECK_TRUE(allowance.take(small, now + milliseconds(500)));
    CHECK_TRUE(allowance.take(free, now));
    CHECK_EQUAL(1U, allowance.size());
}

// Guards against queueing requests that can't be served in time, and against refused callers that
// all return in the same second.
TEST(budget, wait_estimate_follows_the_dequeue_interval) {
    admission::wait_estimator estimator;
    CHECK(estimator.estimated_wait(10) == nanoseconds(0));
    for (int i = 0; i < 5; ++i) {
        estimator.on_dequeue(now + seconds(i), true);
    }
    CHECK(estimator.estimated_wait(3) == seconds(4));
    CHECK(admission::return_time(estimator.estimated_wait(3), 0.0) == seconds(4));
    CHECK(admission::return_time(estimator.estimated_wait(3), 0.99) == milliseconds(7'960));
    CHECK(admission::return_time(estimator.estimated_wait(1'000), 0.0) == seconds(30));
    CHECK(admission::return_time(estimator.estimated_wait(1'000), 0.99) == seconds(30));
    CHECK(admission::return_time(milliseconds(3), 0.0) == milliseconds(100));
}

// Guards against measuring a time without requests as slow targets, and against a stall after which
// every request that has to wait is refused for ever.
TEST(budget, wait_estimate_is_reset_when_the_queue_is_empty) {
    admission::wait_estimator estimator;
    estimator.on_dequeue(now, true);
    estimator.on_dequeue(now + seconds(1), false);
    estimator.on_dequeue(now + std::chrono::hours(1), true);
    CHECK(estimator.estimated_wait(0) == seconds(1));
    estimator.on_dequeue(now + std::chrono::hours(2), true);
    CHECK(estimator.estimated_wait(0) > seconds(60));
    estimator.on_queue_empty();
    CHECK(estimator.estimated_wait(0) == nanoseconds(0));
    estimator.on_dequeue(now + std::chrono::hours(3), true);
    CHECK(estimator.estimated_wait(0) == nanoseconds(0));
}
