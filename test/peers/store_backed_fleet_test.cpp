#include "fake_fleet.h"

#include <algorithm>

using namespace wigeonrill;
using namespace wigeonrill::peers;

TEST_GROUP(store_backed_fleet){};

// Guards against readings of the store or observations that don't reach the peers they are sent to.
TEST(store_backed_fleet, readings_and_observations_reach_the_named_peers) {
    fake_fleet fleet(3);
    fleet.list_all_nodes();
    fleet.run(seconds(2));
    fake_fleet::set_version(*fleet.nodes.at(0), 7);
    const auto when = fleet.clock.now() - milliseconds(300);
    fleet.at(0).announce_store_reading({fake_fleet::id(1)}, when);
    const health::observation seen{
        service_name("stock"), target_id("t1"), health::observation_kind::late, 3, {}};
    fleet.at(0).announce(std::vector<health::observation>(20, seen), {fake_fleet::id(1)});
    for (auto& it : fleet.nodes) {
        it->link.flush();
    }
    fleet.clock.advance(milliseconds(5));
    fleet.nodes.at(1)->link.receive(milliseconds(0));
    const auto heard = fleet.at(1).take_inbox();
    CHECK(heard.reading.has_value());
    LONGS_EQUAL(7, heard.reading->version);
    CHECK(heard.reading->when >= when && heard.reading->when <= when + milliseconds(10));
    LONGS_EQUAL(20, heard.observations.size());
    auto expected = seen;
    expected.reporter = fake_fleet::id(0);
    CHECK(heard.observations.front() == expected);
}

// Guards against a fleet without a list of nodes in which the nodes don't discover each other.
TEST(store_backed_fleet, nodes_discover_each_other_through_seeds) {
    fake_fleet fleet(0);
    for (std::size_t i = 0; i < 36; ++i) {
        auto settings = fleet.settings(i, 1);
        settings.accepts_unlisted_peers = true;
        fleet.nodes.push_back(
            std::make_unique<fake_node>(fleet.network, settings, fleet.clock, fleet.secret));
    }
    fleet.run(seconds(5));
    for (std::size_t i = 0; i < 36; ++i) {
        LONGS_EQUAL(36, fleet.at(i).live_nodes().size());
    }
}

// Guards against a node that stops because its previous process started while the wall clock was
// ahead, and so has a newer incarnation in the tables of the peers.
TEST(store_backed_fleet, takes_a_newer_incarnation_than_its_previous_process) {
    fake_fleet fleet(2);
    fleet.list_all_nodes();
    fleet.run(seconds(2));
    auto settings = fleet.settings(0, 1);
    settings.process.started_ms -= 5'000;
    settings.exclusive_address = true;
    fleet.nodes.at(0) =
        std::make_unique<fake_node>(fleet.network, settings, fleet.clock, fleet.secret);
    fleet.at(0).set_vms(fleet.list());
    fleet.run(seconds(5));
    CHECK_FALSE(fleet.at(0).superseded());
    CHECK(fleet.state(1, 0) == member_state::alive);
    CHECK(fleet.state(0, 1) == member_state::alive);
}

// Guards against numbers of outstanding requests that use up the control budget in a fleet of the
// planned size, where a node gets 40 times the requests. Observations without such a number must
// still be sent.
TEST(store_backed_fleet, counts_keep_to_their_budget) {
    fake_fleet fleet(2);
    fleet.list_all_nodes();
    fleet.run(seconds(2));
    const health::observation count{
        service_name("stock"), target_id("t1"), health::observation_kind::load_only, 1, {}};
    const health::observation failure{
        service_name("stock"), target_id("t1"), health::observation_kind::failed, -1, {}};
    for (int i = 0; i < 200; ++i) {
        fleet.at(0).announce({count, failure}, {fake_fleet::id(1)});
        fleet.nodes.at(0)->link.flush();
        fleet.nodes.at(1)->link.receive(milliseconds(0));
    }
    fleet.clock.advance(milliseconds(5));
    fleet.nodes.at(1)->link.receive(milliseconds(0));
    const auto heard = fleet.at(1).take_inbox().observations;
    const auto counts =
        std::ranges::count_if(heard, [](const auto& it) { return it.outstanding >= 0; });
    CHECK(counts > 10);
    CHECK(counts * 60 <= fake_fleet::count_budget * 3);
    LONGS_EQUAL(200, std::ssize(heard) - counts);
}
