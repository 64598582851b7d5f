#include "health_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::health;

namespace {

const operating_point detecting = operating_point_of(config::health_weight::detection);
const operating_point precise = operating_point_of(config::health_weight::precision);

evidence_report make_report(const char* node, const char* domain, double nats,
                            std::uint64_t sequence) {
    evidence_report made;
    made.reporter = node_id(node);
    made.reporter_domain = domain_name(domain);
    made.llr_sum = nats;
    made.answers = 1;
    made.sequence = sequence;
    return made;
}

} // namespace

TEST_GROUP(aggregation) {
    evidence_pool pool;
    instant now{seconds(100)};

    void add(const char* node, const char* domain, double nats, std::uint64_t sequence,
             const operating_point& point = detecting) {
        pool.add(make_report(node, domain, nats, sequence), point, now);
    }
};

// Guards against a single faulty node that gets a target ejected.
TEST(aggregation, limits_the_share_of_one_reporter) {
    add("a", "d1", -1, 1);
    add("b", "d2", -1, 1);
    for (std::uint64_t i = 1; i < 20; ++i) {
        add("c", "d3", 7, i);
    }
    DOUBLES_EQUAL(detecting.threshold / 2, pool.statistic(), 1e-9);
    CHECK(!pool.is_sick(detecting, 4, 36));
    add("a", "d1", 7, 2);
    add("b", "d2", 7, 2);
    CHECK(pool.is_sick(detecting, 4, 36));
}

// Guards against counting a duplicated datagram twice, and against counting one that arrives after
// a newer one.
TEST(aggregation, drops_reports_that_are_not_newer) {
    add("a", "d1", 5, 7);
    add("a", "d1", 5, 7);
    add("a", "d1", 5, 6);
    DOUBLES_EQUAL(5.0, pool.statistic(), 1e-9);
}

// Guards against an ejection on evidence from one failure domain only, for the precision weight.
TEST(aggregation, needs_two_domains_for_precision) {
    add("a", "d1", 13, 1, precise);
    add("b", "d1", 13, 1, precise);
    add("c", "d1", 13, 1, precise);
    CHECK(pool.statistic() > precise.threshold);
    CHECK(!pool.is_sick(precise, 4, 36));
    CHECK(pool.is_sick(detecting, 4, 36));
    add("d", "d2", 3, 1, precise);
    CHECK(pool.is_sick(precise, 4, 36));
}

// Guards against two aggregators of a target in the same failure domain, and against new
// aggregators for all targets when one node leaves.
TEST(aggregation, chooses_aggregators_in_two_domains) {
    std::vector<fleet_node> live;
    live.reserve(12);
    for (int i = 0; i < 12; ++i) {
        live.push_back(
            {node_id("n" + std::to_string(i)), domain_name("d" + std::to_string(i % 4))});
    }
    const fleet_nodes all(live);
    const auto gone = live.back().id;
    live.pop_back();
    const fleet_nodes fewer(live);
    for (std::uint32_t i = 0; i < 200; ++i) {
        const auto before = all.aggregators(target_name(i));
        const auto after = fewer.aggregators(target_name(i));
        LONGS_EQUAL(2, before.size());
        CHECK(before[0].value.back() % 4 != before[1].value.back() % 4 ||
              before[0].value.size() != before[1].value.size());
        if (before[0] != gone && before[1] != gone) {
            CHECK(before == after);
        }
    }
    LONGS_EQUAL(1,
                fleet_nodes({{node_id("a"), domain_name("d")}}).aggregators(target_name(1)).size());
}

// Guards against a sick target that stays in use because one aggregator receives no reports. The
// other aggregator issues a verdict, which reaches all nodes.
TEST(aggregation, works_while_one_aggregator_receives_no_reports) {
    fleet nodes(4, {});
    nodes.settle();
    const auto live = [] {
        std::vector<fleet_node> made;
        for (std::uint32_t i = 0; i < 4; ++i) {
            made.push_back({fleet::node_name(i), domain_name("d" + std::to_string(i))});
        }
        return fleet_nodes(made);
    }();
    nodes.lost_reports_to = live.aggregators(target_name(3))[0];
    for (int i = 0; i < 12; ++i) {
        nodes.send(static_cast<std::uint32_t>(i % 4), 3, usual_latency * 10);
        nodes.tick();
    }
    for (std::uint32_t i = 0; i < 4; ++i) {
        CHECK(nodes.state(i, 3) == target_state::sick);
    }
}

// Guards against a node that receives no messages from its peers and keeps using a sick target.
TEST(aggregation, falls_back_to_the_local_test) {
    fleet nodes(1, {});
    nodes.settle();
    nodes.node(0).set_nodes({{node_id("x"), domain_name("d1")}, {node_id("y"), domain_name("d2")}});
    for (int i = 0; i < 12; ++i) {
        nodes.send(0, 3, usual_latency * 10);
        nodes.tick();
    }
    CHECK(nodes.state(0, 3) == target_state::sick);
}

// Guards against an ejected target that returns too early because its aggregators were replaced.
TEST(aggregation, new_aggregators_take_over_a_verdict) {
    fleet nodes(1, {});
    nodes.settle();
    const std::vector<fleet_node> live{{node_id("x"), domain_name("d1")},
                                       {node_id("y"), domain_name("d2")},
                                       {fleet::node_name(0), domain_name("d0")}};
    std::uint32_t target = 0;
    const auto judged_here = [&] {
        const auto chosen = fleet_nodes(live).aggregators(target_name(target));
        return chosen[0] == fleet::node_name(0) || chosen[1] == fleet::node_name(0);
    };
    while (judged_here()) {
        ++target;
    }
    nodes.node(0).set_nodes(live);
    nodes.node(0).on_verdict({fleet::service(), target_name(target), target_state::sick, 30.0,
                              node_id("x"), 1, nodes.now() + seconds(30)},
                             nodes.now());
    nodes.tick_for(seconds(1));
    nodes.node(0).set_nodes({});
    nodes.probe_kind = answer_kind::silent;
    nodes.tick_for(seconds(45));
    CHECK(nodes.state(0, target) == target_state::sick);
}

// Guards against a fleet-wide ejection when the link between one node and a target is broken. Only
// that node stops using the target, and the floor holds on all nodes.
TEST(aggregation, a_broken_link_affects_one_node_only) {
    service_shape shape;
    shape.floor_slots = 54;
    fleet nodes(4, shape);
    nodes.settle();
    for (int i = 0; i < 10; ++i) {
        nodes.send(0, 3, milliseconds(1), answer_kind::connect_failed);
        for (std::uint32_t node = 1; node < 4; ++node) {
            nodes.send(node, 3);
        }
        nodes.tick();
    }
    CHECK(nodes.state(0, 3) == target_state::sick);
    CHECK(!nodes.is_used(0, 3));
    LONGS_EQUAL(54, nodes.node(0).plan(fleet::service()).slots_in_use);
    for (std::uint32_t node = 1; node < 4; ++node) {
        CHECK(nodes.state(node, 3) == target_state::healthy);
        LONGS_EQUAL(60, nodes.node(node).plan(fleet::service()).slots_in_use);
    }
}
