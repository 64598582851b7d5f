#include "wigeonrill/platform.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::platform;
using namespace std::chrono_literals;

namespace {

feed_record target(const std::string& id, std::uint64_t revision, const std::string& address,
                   const std::string& service = "print", bool leaving = false,
                   std::uint64_t started = 1, std::uint64_t heartbeat = 1) {
    target_entry it;
    it.target.id = target_id(id);
    it.target.address = *parse_endpoint(address);
    it.target.domain = domain_name("a");
    it.target.slots = 6;
    it.service = service_name(service);
    it.leaving = leaving;
    it.started_ms = started;
    it.heartbeat = heartbeat;
    return {"targets/" + id, revision, it};
}

feed_record rules(std::uint64_t revision, std::uint64_t version = 1) {
    operator_rules it;
    it.version = version;
    it.services = {service_name("print"), service_name("stock")};
    config::route route;
    route.name = route_name("lookup");
    route.service = service_name("stock");
    route.target_latency = 2s;
    route.attempts = 2;
    route.limits.total = 5s;
    it.routes = {route};
    return {"rules", revision, it};
}

feed_record gone(const std::string& id, std::uint64_t revision) {
    return {"targets/" + id, revision, deleted_record{}};
}

} // namespace

TEST_GROUP(inventory) {
    inventory it{{.floor_share = 0.5}};
    instant now{instant{} + 100s};

    std::string ids(std::size_t service = 0) {
        std::string text;
        for (const auto& one : it.configuration()->services.at(service).targets) {
            text += one.id.value + " ";
        }
        return text;
    }
    // The reader's own configuration is in force.
    void put_in_force() {
        it.set_in_force(it.configuration());
    }
    void start() {
        it.replace({5, {rules(1), target("a", 2, "10.0.0.1:1"), target("b", 3, "10.0.0.2:1")}},
                   now);
        put_in_force();
    }
};

// Guards against a configuration from targets alone, whose routes would all be missing.
TEST(inventory, waits_for_the_rules) {
    it.replace({5, {target("a", 2, "10.0.0.1:1")}}, now);
    CHECK(it.configuration() == nullptr);
    it.apply({6, {rules(6)}}, now);
    STRCMP_EQUAL("a ", ids().c_str());
    LONGS_EQUAL(3, it.configuration()->services.at(0).floor_slots);
}

// Guards against work for a target that has said that it leaves, or that is gone.
TEST(inventory, leaves_out_targets_that_leave) {
    start();
    it.apply({6, {target("a", 6, "10.0.0.1:1", "print", true, 1, 2)}}, now);
    STRCMP_EQUAL("b ", ids().c_str());
    it.apply({7, {gone("b", 7)}}, now);
    STRCMP_EQUAL("", ids().c_str());
}

// Guards against a restart under the same name that is taken for the process that was leaving, and
// against a late report of an older process that brings its address back.
TEST(inventory, tells_processes_of_one_name_apart) {
    start();
    it.apply({6, {target("a", 6, "10.0.0.1:1", "print", true, 1, 2)}}, now);
    it.apply({7, {target("a", 7, "10.0.0.9:1", "print", false, 2, 1)}}, now);
    STRCMP_EQUAL("a b ", ids().c_str());
    it.apply({8, {target("a", 8, "10.0.0.1:1", "print", false, 1, 3)}}, now);
    STRCMP_EQUAL("10.0.0.9", it.configuration()->services.at(0).targets.at(0).address.ip.c_str());
}

// Guards against requests of one service that reach a target of another at a reused address.
TEST(inventory, gives_an_address_to_the_newest_process) {
    start();
    it.apply({6, {target("c", 6, "10.0.0.1:1", "stock", false, 9)}}, now);
    STRCMP_EQUAL("b ", ids(0).c_str());
    STRCMP_EQUAL("c ", ids(1).c_str());
}

// Guards against a record of another writer that is used, or that takes the others away.
TEST(inventory, ignores_unreadable_records) {
    start();
    const feed_record bad{"targets/a", 6, unreadable_record{{error_kind::invalid_input, "x", "y"}}};
    it.apply({6, {bad}}, now);
    STRCMP_EQUAL("b ", ids().c_str());
    CHECK(it.take_notes().back().what == "Target is gone.");
}

// Guards against refusing everything after an outage in which no target could renew its
// registration, and against keeping dead targets for good.
TEST(inventory, keeps_lapsed_targets_for_a_while_after_an_outage) {
    start();
    it.read_failed(now, now + 2s);
    it.apply({7, {gone("a", 6), gone("b", 7)}}, now + 4s);
    STRCMP_EQUAL("a b ", ids().c_str());
    CHECK(it.next_expiry() == now + 6s);
    it.apply({8, {target("a", 8, "10.0.0.1:1", "print", false, 1, 9)}}, now + 5s);
    it.expire(now + 6s);
    STRCMP_EQUAL("a ", ids().c_str());
    CHECK_FALSE(it.next_expiry().has_value());
}

// Guards against a failed call or two that keep a target that really is gone.
TEST(inventory, takes_a_short_gap_for_no_outage) {
    start();
    it.read_failed(now, now + 300ms);
    it.apply({6, {gone("a", 6)}}, now + 500ms);
    STRCMP_EQUAL("b ", ids().c_str());
}

// Guards against a node that was cut off and brings a target back that all others have dropped: in
// the run behind it a drained target got requests 7.5 s after it had left.
TEST(inventory, keeps_no_lapsed_target_that_peers_have_dropped) {
    start();
    auto later = std::make_shared<config::snapshot>(*it.configuration());
    later->services.at(0).targets.pop_back();
    it.set_in_force(later);
    it.read_failed(now, now + 2s);
    it.replace({9, {rules(1), target("a", 2, "10.0.0.1:1")}}, now + 4s);
    STRCMP_EQUAL("a ", ids().c_str());
}

// Guards against targets that stay although a list after a forgotten history lacks them.
TEST(inventory, drops_what_a_whole_list_lacks) {
    start();
    it.replace({9, {rules(1), target("b", 3, "10.0.0.2:1")}}, now);
    STRCMP_EQUAL("b ", ids().c_str());
    LONGS_EQUAL(9, it.as_of());
}

// Guards against a silent target that uses up the time in which another one could answer.
TEST(inventory, leaves_time_for_a_second_target) {
    start();
    LONGS_EQUAL(1'500, it.configuration()->routes.at(0).limits.first_byte.count());
}

TEST_GROUP(read_schedule) {
    seeded_random_source random{1};
    instant now{instant{} + 100s};
    read_schedule it{{}, random, now};
};

// Guards against a node that waits for others before it knows anything.
TEST(read_schedule, reads_at_once_after_the_start) {
    CHECK(it.next() == now);
}

// Guards against all nodes that read, and against none that does when the first can't.
TEST(read_schedule, later_ranks_take_over_in_turn) {
    it.known_as_of(now);
    it.set_rank(1);
    const auto second = it.next();
    it.set_rank(2);
    const auto third = it.next();
    it.set_rank(1'000);
    CHECK(now < second && second < third && third < it.next());
    CHECK(it.next() == now + 1s);
    it.known_as_of(now + 1s);
    CHECK(it.next() == now + 2s);
}

// Guards against late readers that wait for a change while their knowledge gets older.
TEST(read_schedule, only_the_first_node_waits_for_changes) {
    CHECK(it.wait() == 400ms);
    it.set_rank(1);
    CHECK(it.wait() < 10ms);
}

// Guards against a flood of calls to a store that is down.
TEST(read_schedule, backs_off_after_failures) {
    it.known_as_of(now);
    for (int i = 0; i < 10; ++i) {
        it.failed(now + 5s);
    }
    CHECK(it.next() >= now + 5s + 450ms);
    CHECK(it.next() <= now + 5s + 900ms);
}

TEST_GROUP(reading_group){};

// Guards against two first nodes in one group, and against a group that is too large to tell.
TEST(reading_group, ranks_differ_and_large_fleets_are_divided) {
    std::vector<node_id> live;
    live.reserve(3'700);
    for (int i = 0; i < 36; ++i) {
        live.emplace_back("10.0.0." + std::to_string(i) + ":7000");
    }
    std::set<std::size_t> ranks;
    for (const auto& it : live) {
        const auto group = group_of(it, live);
        LONGS_EQUAL(35, group.others.size());
        ranks.insert(group.rank);
    }
    LONGS_EQUAL(36, ranks.size());
    for (int i = 36; i < 3'700; ++i) {
        live.emplace_back("10.0." + std::to_string(i / 250) + "." + std::to_string(i) + ":7000");
    }
    CHECK(group_of(live.front(), live).others.size() < 2 * usual_group_size);
}
