#include "wigeonrill/health.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;

TEST_GROUP(target_reachability) {
    health::target_reachability links;
    instant now = instant{} + seconds(100);

    void setup() override {
        links.set_size(3, 30);
    }
    void connect(const char* service, int target, bool connected) {
        links.on_connection(service_name(service), target_id(service + std::to_string(target)),
                            connected, now);
    }
};

// Guards against a node that finds out with each request anew that it reaches no target.
TEST(target_reachability, failures_at_several_services_cut_a_node_off_until_one_connection) {
    for (int i = 0; i < 3; ++i) {
        CHECK_FALSE(links.needs_checks(now));
        connect("stock", i, false);
    }
    CHECK_TRUE(links.needs_checks(now));
    connect("orders", 0, false);
    connect("orders", 1, false);
    CHECK_FALSE(links.is_cut_off());
    connect("stock", 3, false);
    CHECK_TRUE(links.is_cut_off());
    now += std::chrono::minutes(1);
    CHECK_TRUE(links.is_cut_off());
    CHECK_TRUE(links.needs_checks(now));
    connect("orders", 2, true);
    CHECK_FALSE(links.is_cut_off());
    CHECK_FALSE(links.needs_checks(now));
}

// Guards against a node that calls itself cut off because all targets of one service are down, or
// because single targets refuse connections.
TEST(target_reachability, one_service_or_single_targets_do_not_cut_a_node_off) {
    for (int i = 0; i < 20; ++i) {
        connect("stock", i, false);
        CHECK_FALSE(links.is_cut_off());
    }
    connect("files", 0, true);
    for (int i = 0; i < 20; ++i) {
        connect(i % 2 == 0 ? "stock" : "orders", 0, false);
        CHECK_FALSE(links.is_cut_off());
    }
    connect("files", 0, true);
    for (int i = 0; i < 20; ++i) {
        now += seconds(2);
        connect(i % 2 == 0 ? "stock" : "orders", i, false);
        CHECK_FALSE(links.is_cut_off());
    }
}

// Guards against a small deployment whose nodes are never seen to be cut off.
TEST(target_reachability, all_targets_of_a_small_deployment_are_enough) {
    links.set_size(1, 2);
    connect("stock", 0, false);
    CHECK_FALSE(links.is_cut_off());
    connect("stock", 1, false);
    CHECK_TRUE(links.is_cut_off());
    links.set_size(0, 0);
    CHECK_FALSE(links.is_cut_off());
}
