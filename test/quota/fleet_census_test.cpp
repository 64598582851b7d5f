#include "wigeonrill/quota.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;

TEST_GROUP(fleet_census) {
    static constexpr std::size_t max_nodes = 40;
    static constexpr std::size_t seeds = 3;

    quota::fleet_census census{max_nodes};
    instant now = instant{} + seconds(1'000);

    // Updates the census for a time with other nodes, of which all respond.
    void pass(milliseconds span, std::size_t heard, std::size_t heard_seeds) {
        const auto unheard_seeds = seeds - heard_seeds;
        for (const auto end = now + span; now < end; now += milliseconds(250)) {
            census.update({heard + unheard_seeds, heard, heard, seeds, heard_seeds}, now);
        }
    }
};

// Guards against a process that takes the seeds, which it has never heard, for its fleet.
TEST(fleet_census, node_that_hears_nobody_never_knows_its_fleet) {
    pass(std::chrono::hours(1), 0, 0);
    CHECK_FALSE(census.size().is_complete);
    LONGS_EQUAL(max_nodes, census.size().parts());
}

// Guards against dividing by the few nodes that a process has heard first.
TEST(fleet_census, fleet_is_known_once_all_seeds_were_heard_and_no_more_nodes_come) {
    for (std::size_t heard = 3; heard < 7; ++heard) {
        pass(milliseconds(500), heard, 3);
        CHECK_FALSE(census.size().is_complete);
    }
    pass(milliseconds(1'250), 7, 3);
    LONGS_EQUAL(8, census.size().parts());
}

// Guards against a node that never knows its fleet because new nodes come all the time.
TEST(fleet_census, fleet_is_known_at_the_latest_some_seconds_after_the_last_seed) {
    for (std::size_t heard = 3; heard < 20; ++heard) {
        pass(milliseconds(250), heard, 3);
    }
    CHECK_TRUE(census.size().is_complete);
}

// Guards against two groups that each take themselves for the fleet, and against a seed that is
// gone for good and keeps the limits low for good.
TEST(fleet_census, group_that_lacks_a_seed_knows_its_fleet_only_after_minutes) {
    pass(std::chrono::minutes(9), 11, 2);
    LONGS_EQUAL(max_nodes, census.size().parts());
    pass(std::chrono::minutes(2), 11, 2);
    LONGS_EQUAL(13, census.size().parts()); // with itself and the seed that nobody has heard
}

// Guards against a node that is cut off for so long that it forgets the others, and then uses a
// larger part of each limit.
TEST(fleet_census, node_that_is_cut_off_forgets_no_nodes) {
    pass(seconds(5), 30, 3);
    LONGS_EQUAL(31, census.size().parts());
    census.update({3, 3, 0, seeds, 3}, now);
    LONGS_EQUAL(31, census.size().parts());
    census.update({4, 4, 1, seeds, 3}, now);
    LONGS_EQUAL(5, census.size().parts());
}
