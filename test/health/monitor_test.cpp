#include "health_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::health;

TEST_GROUP(monitor){};

// Guards against a node that uses no target after it received its first configuration.
TEST(monitor, uses_all_targets_after_the_first_configuration) {
    fleet nodes(1, {});
    LONGS_EQUAL(10, nodes.node(0).plan(fleet::service()).usable.size());
}

// Guards against a slow target that stays in use, and against ejecting healthy targets with it.
TEST(monitor, ejects_a_target_that_is_ten_times_slower_on_every_node) {
    fleet nodes(8, {});
    nodes.settle();
    for (std::uint32_t i = 0; i < 8; ++i) {
        nodes.send(i, 3, usual_latency * 10);
        nodes.send(i, 4);
        nodes.tick();
    }
    nodes.send(0, 3, usual_latency * 10);
    nodes.tick();
    nodes.tick();
    nodes.tick();
    for (std::uint32_t i = 0; i < 8; ++i) {
        CHECK(nodes.state(i, 3) == target_state::sick);
        CHECK(!nodes.is_used(i, 3));
        CHECK(nodes.is_used(i, 4));
    }
}

// Guards against an ejection for a single answer, however slow.
TEST(monitor, does_not_eject_after_one_answer) {
    fleet nodes(4, {});
    nodes.settle();
    nodes.send(0, 3, milliseconds(100'000));
    nodes.tick();
    nodes.tick();
    CHECK(nodes.state(0, 3) == target_state::healthy);
}

// Guards against a target that stays ejected after its aggregators are gone.
TEST(monitor, lets_a_verdict_expire) {
    fleet nodes(2, {});
    nodes.settle();
    const std::vector<fleet_node> live{{node_id("x"), domain_name("d1")},
                                       {node_id("y"), domain_name("d2")},
                                       {fleet::node_name(0), domain_name("d0")}};
    nodes.node(0).set_nodes(live);
    // A target of which node 0 is no aggregator, so that it doesn't renew the verdict.
    std::uint32_t target = 0;
    const auto judged_here = [&] {
        const auto chosen = fleet_nodes(live).aggregators(target_name(target));
        return chosen[0] == fleet::node_name(0) || chosen[1] == fleet::node_name(0);
    };
    while (judged_here()) {
        ++target;
    }
    nodes.node(0).on_verdict({fleet::service(), target_name(target), target_state::sick, 30.0,
                              node_id("x"), 1, nodes.now() + seconds(30)},
                             nodes.now());
    nodes.tick_for(seconds(29));
    CHECK(nodes.state(0, target) == target_state::sick);
    nodes.tick_for(seconds(2));
    CHECK(nodes.state(0, target) == target_state::warming);
    nodes.tick_for(seconds(8));
    CHECK(nodes.state(0, target) == target_state::healthy);
}
