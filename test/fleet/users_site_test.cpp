#include "test/fleet/users_site.h"

#include <chrono>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace fleet_test;
using namespace std::chrono_literals;

namespace {

request ask(const std::string& method, const std::string& path) {
    return {method,
            path,
            {{"Host", "h.example"},
             {"X-Wigeonrill-Request-Id", "9c41d07be2a35f68"},
             {"X-Wigeonrill-Deadline-Ms", "4000"}},
            ""};
}

// Changes must be in force and targets drained 2 s after the store has taken them.
constexpr auto bound = 2s;

} // namespace

TEST_GROUP(users_site) {
    users_site site{2};

    void setup() override {
        site.publish("/look/");
        site.register_target(0, "ready");
    }
    answer look() {
        return send(site.port(), ask("GET", "/look/1"));
    }
};

// Guards against an adapter that no test starts: settings template, store, targets and headers.
TEST(users_site, serves_through_the_adapter) {
    site.start_node();
    const auto got = look();
    LONGS_EQUAL(200, got.status);
    STRCMP_EQUAL("answer", got.body.c_str());
    STRCMP_EQUAL("signed", got.headers.at("X-Wigeonrill-Response-Signature").c_str());
    STRCMP_EQUAL("9c41d07be2a35f68", site.last_header(0, "X-Wigeonrill-Request-Id").c_str());
    STRCMP_EQUAL("i-0", site.last_header(0, "X-Wigeonrill-Target-Instance").c_str());
    const auto left = std::stoi(site.last_header(0, "X-Wigeonrill-Deadline-Ms"));
    CHECK(left > 3'000 && left <= 4'000);
    LONGS_EQUAL(404, send(site.port(), ask("GET", "/other/1")).status);
}

// Guards against work for a target after its notice, and after its record is gone without one.
TEST(users_site, leaving_targets_get_no_work) {
    site.start_node();
    site.register_target(1, "ready");
    site.register_target(0, "draining");
    std::this_thread::sleep_for(bound);
    const auto before = site.requests_at(0);
    for (int i = 0; i < 20; ++i) {
        LONGS_EQUAL(200, look().status);
    }
    LONGS_EQUAL(before, site.requests_at(0));
    site.register_target(0, "ready");
    site.remove(users_site::key_of(1));
    std::this_thread::sleep_for(bound);
    const auto last = site.requests_at(1);
    for (int i = 0; i < 20; ++i) {
        LONGS_EQUAL(200, look().status);
    }
    LONGS_EQUAL(last, site.requests_at(1));
}

// Guards against a node that stops serving, or forgets, while the store is down, and against one
// that goes on with old rules after the store has forgotten its history.
TEST(users_site, outage_and_lost_history_of_the_store_are_survived) {
    site.start_node();
    site.set_store_down(true);
    std::this_thread::sleep_for(1500ms);
    LONGS_EQUAL(200, look().status);
    site.publish("/view/");
    site.forget_history();
    site.set_store_down(false);
    std::this_thread::sleep_for(bound);
    LONGS_EQUAL(200, send(site.port(), ask("GET", "/view/1")).status);
    LONGS_EQUAL(404, look().status);
}

// Guards against records of other writers that take the others out of use or are used themselves.
TEST(users_site, records_that_cannot_be_read_harm_nothing) {
    site.write("servers/i-8", "{\"address\":5}");
    site.write("servers/i-9", "no record");
    site.write("other/key", "anything");
    site.start_node();
    for (int i = 0; i < 10; ++i) {
        LONGS_EQUAL(200, look().status);
    }
}

// Guards against a false promise: 503 only where no target ran the order, and 500 as the target
// gave it.
TEST(users_site, statuses_of_orders_tell_the_truth) {
    site.start_node();
    site.set_status(0, 503);
    const auto refused = send(site.port(), ask("POST", "/order/1"));
    LONGS_EQUAL(503, refused.status);
    CHECK(refused.headers.count("Retry-After") == 1);
    site.set_status(0, 500);
    const auto failed = send(site.port(), ask("POST", "/order/2"));
    LONGS_EQUAL(500, failed.status);
    STRCMP_EQUAL("signed", failed.headers.at("X-Wigeonrill-Response-Signature").c_str());
}
