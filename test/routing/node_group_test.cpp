#include "wigeonrill/routing.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using routing::choose_node_group;
using routing::choose_target_slice;

namespace {

std::vector<node_id> fleet_of(std::size_t n) {
    std::vector<node_id> all;
    for (std::size_t i = 0; i < n; ++i) {
        all.emplace_back("10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250) +
                         ":8382");
    }
    return all;
}

std::vector<config::target> targets_of(std::size_t n) {
    std::vector<config::target> all(n);
    for (std::size_t i = 0; i < n; ++i) {
        all[i].id = target_id("i-" + std::to_string(i * 7'919));
    }
    return all;
}

std::size_t size_of(const std::vector<bool>& slice) {
    return static_cast<std::size_t>(std::ranges::count(slice, true));
}

} // namespace

TEST_GROUP(node_group){};

// Guards against a fleet size from which on nodes know less about their targets: groups that grow
// with the fleet cost messages in proportion, and groups of unequal size load their slices
// unequally.
TEST(node_group, groups_of_any_fleet_have_equal_size) {
    for (const std::size_t n : {1, 2, 36, 48, 49, 94, 96, 97, 110, 142, 160, 300, 1'000}) {
        const auto all = fleet_of(n);
        std::map<std::size_t, std::size_t> sizes;
        for (const auto& it : all) {
            const auto group = choose_node_group(it, all);
            ++sizes[group.position.index];
            LONGS_EQUAL(group.position.nodes, group.others.size() + 1);
            CHECK(group.position.nodes <= routing::max_group_nodes);
            CHECK(std::ranges::find(group.others, it) == group.others.end());
        }
        const auto [least, most] =
            std::ranges::minmax_element(sizes, {}, [](const auto& one) { return one.second; });
        CHECK(most->second - least->second <= 1);
        LONGS_EQUAL(sizes.size(), choose_node_group(all[0], all).position.count);
    }
}

// Guards against nodes that disagree about who belongs together: what one tells would then reach
// nodes that use other targets.
TEST(node_group, membership_is_mutual) {
    const auto all = fleet_of(142);
    for (const auto& it : all) {
        for (const auto& other : choose_node_group(it, all).others) {
            const auto others = choose_node_group(other, all).others;
            CHECK(std::ranges::find(others, it) != others.end());
        }
    }
}

// Guards against a new division of the whole fleet, in which nobody knows the targets of his slice,
// whenever a node ends.
TEST(node_group, a_leaving_node_moves_few_others) {
    const auto all = fleet_of(142);
    auto rest = all;
    rest.erase(rest.begin() + 70);
    int moved = 0;
    for (const auto& it : rest) {
        moved +=
            choose_node_group(it, all).position.index != choose_node_group(it, rest).position.index
                ? 1
                : 0;
    }
    CHECK(moved <= 2); // one at each border between the three groups
}

// Guards against a target that no group uses, and against slices too small to bear the loss of a
// target.
TEST(node_group, slices_cover_all_targets) {
    for (const std::size_t n : {1, 6, 8, 9, 20, 40, 192, 42'000}) {
        const auto targets = targets_of(n);
        for (const std::size_t count : {1, 2, 3, 4, 78}) {
            std::vector<bool> covered(n, false);
            for (std::size_t i = 0; i < count; ++i) {
                const auto slice = choose_target_slice(targets, {i, count, 48});
                CHECK(size_of(slice) >= std::min(n, routing::min_slice_targets));
                CHECK(size_of(slice) <= std::max(n / count + 1, routing::min_slice_targets + 1));
                for (std::size_t j = 0; j < n; ++j) {
                    covered[j] = covered[j] || slice[j];
                }
            }
            LONGS_EQUAL(n, size_of(covered));
        }
    }
}

// Guards against a slice that depends on the order in which a node lists the targets.
TEST(node_group, slice_depends_on_ids_only) {
    auto targets = targets_of(40);
    const auto slice = choose_target_slice(targets, {1, 3, 48});
    auto reversed = targets;
    std::ranges::reverse(reversed);
    auto other = choose_target_slice(reversed, {1, 3, 48});
    std::reverse(other.begin(), other.end());
    CHECK(slice == other);
}
