#include "wigeonrill/routing.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using routing::placement_candidate;

namespace {

placement_candidate candidate(std::uint32_t own, std::uint32_t peer_outstanding) {
    placement_candidate made;
    made.slots = 2;
    made.outstanding = own;
    made.peer_outstanding = peer_outstanding;
    return made;
}

std::size_t choose(const std::vector<placement_candidate>& all) {
    routing::least_cost policy;
    seeded_random_source random(7);
    return policy.choose(all, random);
}

} // namespace

TEST_GROUP(least_cost){};

// Guards against sending a request to a target that other nodes have filled.
TEST(least_cost, counts_of_other_nodes_weigh_like_own_ones) {
    LONGS_EQUAL(1, choose({candidate(0, 2), candidate(1, 0)}));
}

// Guards against preferring a free target that is probably failing to a short wait.
TEST(least_cost, prefers_a_short_wait_to_a_probable_failure) {
    auto sick = candidate(0, 0);
    sick.failure_probability = 0.6;
    LONGS_EQUAL(1, choose({sick, candidate(0, 3)}));
    // With a wait of many service times, the target that may be failing is preferred.
    LONGS_EQUAL(0, choose({sick, candidate(0, 8)}));
}

// Guards against traffic between failure domains while a target in the node's domain is equally
// free, and against filling the targets in the node's domain to avoid it.
TEST(least_cost, prefers_its_own_domain_while_it_is_free) {
    auto remote = candidate(0, 0);
    remote.is_remote = true;
    LONGS_EQUAL(1, choose({remote, candidate(0, 0)}));
    LONGS_EQUAL(0, choose({remote, candidate(1, 0)}));
}

// Guards against sending to a cold target while a warm one has a free slot.
TEST(least_cost, cold_target_comes_after_free_warm_ones) {
    auto cold = candidate(0, 0);
    cold.weight = 0.3;
    LONGS_EQUAL(1, choose({cold, candidate(1, 0)}));
    LONGS_EQUAL(0, choose({cold, candidate(2, 1)}));
}

// Guards against a fixed choice among equal candidates, which 36 nodes would all make at once.
TEST(least_cost, choice_among_equal_candidates_is_random) {
    routing::least_cost policy;
    seeded_random_source random(7);
    const std::vector<placement_candidate> all(3, candidate(0, 0));
    std::vector<int> counts(3);
    for (int i = 0; i < 900; ++i) {
        ++counts.at(policy.choose(all, random));
    }
    for (const auto n : counts) {
        CHECK(n > 200);
    }
}

// Guards against counting requests of another node for ever when the message that they ended was
// lost.
TEST(least_cost, peer_count_expires_when_it_is_not_repeated) {
    routing::peer_load load;
    const instant start{seconds(100)};
    load.report(node_id("a"), 2, start);
    load.report(node_id("b"), 1, start + seconds(2));
    LONGS_EQUAL(3, load.at(start + seconds(2)));
    LONGS_EQUAL(1, load.at(start + seconds(3)));
    load.report(node_id("b"), 0, start + seconds(3));
    LONGS_EQUAL(0, load.at(start + seconds(3)));
}

// Guards against many nodes that all choose the one target that looks best, and fill it before they
// hear of each other's requests.
TEST(least_cost, nodes_with_the_same_counts_choose_different_targets) {
    constexpr int nodes = 37;
    std::vector<placement_candidate> all(95, candidate(0, 1));
    all.at(40) = candidate(0, 0);
    int same = 0;
    routing::least_cost policy;
    seeded_random_source random(7);
    for (int i = 0; i < nodes; ++i) {
        same += policy.choose(all, random) == 40 ? 1 : 0;
    }
    CHECK(same >= 1);
    CHECK(same <= nodes / 4);
}

// Guards against traffic between failure domains because the sample has no target of the node's
// domain.
TEST(least_cost, many_targets_elsewhere_do_not_hide_free_ones_in_the_own_domain) {
    std::vector<placement_candidate> all(95, candidate(0, 0));
    for (auto& it : all) {
        it.is_remote = true;
    }
    all.at(40).is_remote = false;
    routing::least_cost policy;
    seeded_random_source random(7);
    for (int i = 0; i < 100; ++i) {
        LONGS_EQUAL(40, policy.choose(all, random));
    }
}
