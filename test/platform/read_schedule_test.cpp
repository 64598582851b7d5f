#include "wigeonrill/platform.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::platform;
using namespace std::chrono_literals;

TEST_GROUP(read_schedule) {
    seeded_random_source random{1};
    instant now{instant{} + 100s};
    read_schedule it{{}, random, now};
};

// Guards against a node without data that waits for its peers.
TEST(read_schedule, first_call_is_due_at_once) {
    CHECK(it.next_call_at() == now);
}

// Guards against reads by all nodes at once, and against no reads at all when rank 0 can't reach
// the store.
TEST(read_schedule, ranks_take_over_one_after_the_other) {
    it.mark_up_to_date(now);
    it.set_rank(1);
    const auto second = it.next_call_at();
    it.set_rank(2);
    const auto third = it.next_call_at();
    it.set_rank(1'000);
    CHECK(now < second && second < third && third < it.next_call_at());
    CHECK(it.next_call_at() == now + 1s);
    it.mark_up_to_date(now + 1s);
    CHECK(it.next_call_at() == now + 2s);
}

// Guards against a node that takes over for rank 0 and then waits for a change while its data ages.
TEST(read_schedule, only_rank_0_waits_for_changes) {
    CHECK(it.max_wait() == 400ms);
    it.set_rank(1);
    CHECK(it.max_wait() < 10ms);
}

// Guards against calling a store that is down at the full rate.
TEST(read_schedule, backs_off_after_failures) {
    it.mark_up_to_date(now);
    for (int i = 0; i < 10; ++i) {
        it.call_failed(now + 5s);
    }
    CHECK(it.next_call_at() >= now + 5s + 450ms);
    CHECK(it.next_call_at() <= now + 5s + 900ms);
}

TEST_GROUP(read_sharing_group){};

// Guards against two nodes of rank 0 in one group, and against a group with too many nodes to send
// each reading to.
TEST(read_sharing_group, ranks_differ_and_large_fleets_are_divided) {
    std::vector<node_id> live;
    live.reserve(3'700);
    for (int i = 0; i < 36; ++i) {
        live.emplace_back("10.0.0." + std::to_string(i) + ":7000");
    }
    std::set<std::size_t> ranks;
    for (const auto& it : live) {
        const auto group = choose_read_sharing_group(it, live);
        LONGS_EQUAL(35, group.others.size());
        ranks.insert(group.rank);
    }
    LONGS_EQUAL(36, ranks.size());
    for (int i = 36; i < 3'700; ++i) {
        live.emplace_back("10.0." + std::to_string(i / 250) + "." + std::to_string(i) + ":7000");
    }
    CHECK(choose_read_sharing_group(live.front(), live).others.size() < 2 * usual_group_size);
}
