#include "wigeonrill/health.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::health;

namespace {

target_condition healthy(std::uint32_t index, std::uint32_t slots = 6) {
    return {index, slots, target_state::healthy, 0.0, 1.0, true};
}

target_condition sick(std::uint32_t index, double severity, std::uint32_t slots = 6) {
    return {index, slots, target_state::sick, severity, 1.0, true};
}

bool uses(const ejection_plan& plan, std::uint32_t index) {
    for (const auto& it : plan.usable) {
        if (it.index == index) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_GROUP(ejection_policy){};

// Guards against an ejection that reduces the capacity below the floor, and against ejecting the
// less severe of two sick targets.
TEST(ejection_policy, ejects_the_worst_targets_down_to_the_floor) {
    const std::vector<target_condition> targets{healthy(0), healthy(1), sick(2, 21), sick(3, 40)};
    const auto plan = ejection_policy{}.plan(targets, 18);
    CHECK(!uses(plan, 3));
    CHECK(uses(plan, 2));
    LONGS_EQUAL(18, plan.slots_in_use);
    LONGS_EQUAL(1, plan.kept);
    DOUBLES_EQUAL(ejection_policy::kept_weight, plan.usable[2].weight, 1e-9);
}

// Guards against ejecting every target when all are slow at once.
TEST(ejection_policy, keeps_targets_when_all_are_sick) {
    std::vector<target_condition> targets;
    for (std::uint32_t i = 0; i < 10; ++i) {
        targets.push_back(sick(i, 20.0 + i));
    }
    LONGS_EQUAL(10, ejection_policy{}.plan(targets, 60).usable.size());
    LONGS_EQUAL(5, ejection_policy{}.plan(targets, 30).usable.size());
    LONGS_EQUAL(1, ejection_policy{}.plan(targets, 0).usable.size());
}

// Guards against counting targets instead of slots, since one large target may provide most of the
// floor.
TEST(ejection_policy, counts_slots_not_targets) {
    const std::vector<target_condition> targets{sick(0, 50, 20), sick(1, 30, 2), healthy(2, 2)};
    const auto plan = ejection_policy{}.plan(targets, 20);
    CHECK(uses(plan, 0));
    CHECK(!uses(plan, 1));
    LONGS_EQUAL(22, plan.slots_in_use);
}

// Guards against counting slots that provide no full capacity: those of leaving, unreachable and
// warming targets.
TEST(ejection_policy, does_not_count_leaving_unreachable_or_warming_targets) {
    std::vector<target_condition> targets{healthy(0), healthy(1), healthy(2), healthy(3),
                                          sick(4, 30)};
    targets[0].state = target_state::leaving;
    targets[1].reachable = false;
    targets[2].state = target_state::warming;
    targets[2].weight = 0.4;
    const auto plan = ejection_policy{}.plan(targets, 12);
    LONGS_EQUAL(12, plan.slots_in_use);
    LONGS_EQUAL(3, plan.usable.size());
    CHECK(!uses(plan, 0) && !uses(plan, 1));
    DOUBLES_EQUAL(0.4, plan.usable[0].weight, 1e-9);
}

// Guards against capacity below the floor when a failure domain is lost while two targets are
// ejected.
TEST(ejection_policy, uses_an_ejected_target_again_when_a_domain_is_lost) {
    std::vector<target_condition> targets;
    for (std::uint32_t i = 0; i < 8; ++i) {
        targets.push_back(i < 2 ? sick(i, 30.0 + i) : healthy(i));
    }
    LONGS_EQUAL(2, ejection_policy{}.plan(targets, 30).ejected);
    targets[6].reachable = false;
    targets[7].reachable = false;
    const auto plan = ejection_policy{}.plan(targets, 30);
    LONGS_EQUAL(1, plan.ejected);
    CHECK(uses(plan, 0));
    LONGS_EQUAL(30, plan.slots_in_use);
}

// Guards against capacity below the floor while two targets become sick and healthy in turn. Each
// plan must keep the floor.
TEST(ejection_policy, keeps_the_floor_while_two_targets_flap_out_of_phase) {
    for (int phase = 0; phase < 4; ++phase) {
        std::vector<target_condition> targets{healthy(0), healthy(1), healthy(2)};
        if (phase % 2 == 1) {
            targets[0] = sick(0, 30);
        }
        if (phase / 2 == 1) {
            targets[1] = sick(1, 31);
        }
        const auto plan = ejection_policy{}.plan(targets, 12);
        CHECK(plan.slots_in_use >= 12);
        LONGS_EQUAL(phase == 3 ? 1 : 0, plan.kept);
    }
}

// Guards against requests to a leaving target that is also ejected, and against a result that
// depends on the order of the targets, which differs between nodes.
TEST(ejection_policy, depends_only_on_the_conditions) {
    std::vector<target_condition> targets{healthy(0), sick(1, 30), sick(2, 30), sick(3, 50)};
    targets[3].state = target_state::leaving;
    const auto plan = ejection_policy{}.plan(targets, 12);
    std::swap(targets[0], targets[3]);
    std::swap(targets[1], targets[2]);
    CHECK(plan == ejection_policy{}.plan(targets, 12));
    CHECK(!uses(plan, 3) && !uses(plan, 1) && uses(plan, 2));
}

// Guards against refusing all requests when this node can reach none of the failure domains.
TEST(ejection_policy, uses_unreachable_targets_when_no_other_is_usable) {
    std::vector<target_condition> targets{healthy(0), healthy(1)};
    targets[0].reachable = targets[1].reachable = false;
    targets[1].state = target_state::leaving;
    const auto plan = ejection_policy{}.plan(targets, 6);
    LONGS_EQUAL(1, plan.usable.size());
    LONGS_EQUAL(0, plan.slots_in_use);
}

// Guards against a reduced weight of warming targets while the floor needs their slots.
TEST(ejection_policy, raises_warming_targets_to_full_weight_below_the_floor) {
    std::vector<target_condition> targets{healthy(0), healthy(1), healthy(2)};
    for (std::uint32_t i = 1; i < 3; ++i) {
        targets[i].state = target_state::warming;
        targets[i].weight = 0.1;
    }
    const auto plan = ejection_policy{}.plan(targets, 12);
    LONGS_EQUAL(12, plan.slots_in_use);
    DOUBLES_EQUAL(1.0, plan.usable[1].weight, 1e-9);
    DOUBLES_EQUAL(0.1, plan.usable[2].weight, 1e-9);
}
