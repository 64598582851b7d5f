#include "wigeonrill/admission.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;

TEST_GROUP(budget) {
    instant now{};
};

// Guards against retries that multiply the load of a service that fails every request.
TEST(budget, retries_stay_at_a_tenth_of_the_requests) {
    auto budget = admission::make_retry_budget();
    int taken = 0;
    for (int i = 0; i < 10'000; ++i) {
        now += milliseconds(1);
        budget.on_request(now);
        taken += budget.take(now) ? 1 : 0;
    }
    // 1,000 of 10,000, 10 saved up, and 5 in 10 s by the constant rate.
    CHECK(taken >= 1'000 && taken <= 1'015);
}

// Guards against a service with few requests that never gets a retry, and against calm that pays
// for a storm.
TEST(budget, constant_rate_and_cap) {
    auto budget = admission::make_retry_budget();
    while (budget.take(now)) {
    }
    CHECK_FALSE(budget.take(now + milliseconds(500)));
    CHECK_TRUE(budget.take(now + seconds(2)));
    CHECK_TRUE(budget.take(now + std::chrono::hours(5)));
    CHECK(budget.balance() <= 9.0);
}

// Guards against one workspace that takes the whole node, and against a table that grows with
// invented names.
TEST(budget, workspace_allowance) {
    config::snapshot configuration;
    configuration.workspaces = {{workspace_name("free"), 0}, {workspace_name("small"), 2}};
    admission::workspace_allowance allowance;
    CHECK_TRUE(allowance.take(configuration, "small", now));
    CHECK_TRUE(allowance.take(configuration, "small", now));
    CHECK_FALSE(allowance.take(configuration, "small", now));
    CHECK_TRUE(allowance.take(configuration, "small", now + milliseconds(500)));
    CHECK_TRUE(allowance.take(configuration, "free", now));
    CHECK_TRUE(allowance.take(configuration, "invented", now));
    CHECK_EQUAL(1U, allowance.size());
}

// Guards against requests that wait although they can't be served in time, and against callers
// that all come back in the same second.
TEST(budget, wait_estimate_follows_the_grants) {
    admission::wait_estimator estimator;
    CHECK(estimator.wait(10) == nanoseconds(0));
    for (int i = 0; i < 5; ++i) {
        estimator.on_grant(now + seconds(i), true);
    }
    CHECK(estimator.wait(3) == seconds(4));
    CHECK(estimator.retry_after(3, 0.0) == seconds(4));
    CHECK(estimator.retry_after(3, 0.99) == seconds(8));
    CHECK(estimator.retry_after(1'000, 0.0) == seconds(30));
}

// Guards against a calm that is taken for slow targets, and against a stall after which every
// request that has to wait is refused for ever.
TEST(budget, wait_estimate_ends_with_the_queue) {
    admission::wait_estimator estimator;
    estimator.on_grant(now, true);
    estimator.on_grant(now + seconds(1), false);
    estimator.on_grant(now + std::chrono::hours(1), true);
    CHECK(estimator.wait(0) == seconds(1));
    estimator.on_grant(now + std::chrono::hours(2), true);
    CHECK(estimator.wait(0) > seconds(60));
    estimator.on_empty();
    CHECK(estimator.wait(0) == nanoseconds(0));
    estimator.on_grant(now + std::chrono::hours(3), true);
    CHECK(estimator.wait(0) == nanoseconds(0));
}
