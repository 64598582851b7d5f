#include "wigeonrill/daemon.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::daemon;
using namespace std::chrono_literals;

namespace {

config::snapshot_ptr content(int targets) {
    config::snapshot made;
    config::service service;
    service.name = service_name("stock");
    for (int i = 0; i < targets; ++i) {
        config::target target;
        target.id = target_id("t" + std::to_string(i));
        target.address = {"10.0.0." + std::to_string(i + 1), 80};
        target.domain = domain_name("a");
        target.slots = 6;
        target.cold_start = 3s;
        service.targets.push_back(target);
    }
    made.services = {service};
    config::route lookup;
    lookup.name = route_name("lookup");
    lookup.service = service_name("stock");
    lookup.attempts = 2;
    config::route order = lookup;
    order.name = route_name("order");
    order.path_prefix = "/orders/";
    order.repeat = config::repeat_policy::at_most_once;
    order.key = config::key_policy::optional;
    order.split = {{service_name("stock"), 90}};
    made.routes = {lookup, order};
    return std::make_shared<const config::snapshot>(made);
}

platform::reading reading(std::uint64_t as_of, int targets) {
    platform::reading made;
    made.as_of = as_of;
    made.configuration = content(targets);
    return made;
}

} // namespace

TEST_GROUP(reading) {
    manual_clock_source clock;
    seeded_random_source random{1};
    observe::memory_sink log;
    observe::metric_registry metrics;
    traffic_events events{log};
    dispatch::request_dispatcher dispatcher{{{"10.1.0.1", 80}, 1, {}}, clock, random, events};
    control_loop loop{{clock, log, metrics, events, dispatcher, nullptr},
                      node_id("10.1.0.1:7"),
                      domain_name("d1")};
    control_loop peer{{clock, log, metrics, events, dispatcher, nullptr},
                      node_id("10.1.0.2:7"),
                      domain_name("d1")};

    std::uint64_t version() {
        return loop.state()->configuration->version;
    }
};

// Guards against a new version, and its transfer to every node, for each report of a target: in
// the run behind it no reading ever equalled the version in force, so that all nodes read.
TEST(reading, same_content_makes_no_new_version) {
    loop.take_reading(reading(5, 3));
    LONGS_EQUAL(5, version());
    loop.take_reading(reading(9, 3));
    LONGS_EQUAL(5, version());
    loop.take_reading(reading(10, 2));
    LONGS_EQUAL(10, version());
}

// Guards against a node that goes back to what it read before a peer read something newer.
TEST(reading, older_reading_does_not_replace_a_newer_version) {
    loop.take_reading(reading(10, 2));
    loop.take_reading(reading(8, 3));
    LONGS_EQUAL(10, version());
    LONGS_EQUAL(2, loop.state()->configuration->services.at(0).targets.size());
}

// Guards against two nodes that both read the store and then can't take each other's changes: in
// the run behind it a node stayed with routes that were 3 s old.
TEST(reading, whole_content_follows_after_a_mismatch) {
    loop.take_reading(reading(5, 3));
    loop.take_reading(reading(7, 2));
    peer.take_reading(reading(6, 3));
    const auto delta = loop.changes_since(6);
    CHECK(config::apply_outcome::base_mismatch == peer.offer(delta, "peer"));
    CHECK(config::apply_outcome::accepted == peer.offer(loop.changes_since(0), "peer"));
    LONGS_EQUAL(7, peer.state()->configuration->version);
}

// Guards against a written configuration that reads back as another one.
TEST(reading, written_document_reads_back) {
    auto made = *content(3);
    made.version = 4;
    made.published = wall_time{} + 1s;
    const auto back = config::parse_document(config::write_document(made), "test");
    CHECK(back.has_value());
    CHECK(*back == made);
}
