#include "wigeonrill/platform.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::platform;
using namespace std::chrono_literals;

namespace {

feed_record target(const std::string& id, std::uint64_t revision, const std::string& address,
                   const std::string& service = "print", bool leaving = false,
                   std::uint64_t started = 1, std::uint64_t heartbeat = 1) {
    target_registration it;
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

feed_record deleted(const std::string& id, std::uint64_t revision) {
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
    // Reports the inventory's own configuration as the one in force.
    void report_in_force() {
        it.set_configuration_in_force(it.configuration());
    }
    void start() {
        it.replace({5, {rules(1), target("a", 2, "10.0.0.1:1"), target("b", 3, "10.0.0.2:1")}},
                   now);
        report_in_force();
    }
};

// Guards against a target that other nodes use again because only this node has read that it left
// (review/4, DRAIN), and against news of a process or registration that can't be told from others.
TEST(inventory, tells_which_targets_leave_or_are_gone) {
    const auto registered = [](feed_record record, std::uint64_t created) {
        std::get<target_registration>(record.content).created = created;
        return record;
    };
    start();
    it.apply({10,
              {registered(target("c", 10, "10.0.0.3:1", "print", false, 7, 1), 10),
               registered(target("d", 10, "10.0.0.4:1", "print", false, 8, 1), 10)}},
             now);
    CHECK(it.take_withdrawn_targets().empty());
    it.apply({12,
              {registered(target("c", 11, "10.0.0.3:1", "print", true, 7, 2), 10), deleted("d", 12),
               deleted("b", 12)}},
             now);
    const auto found = it.take_withdrawn_targets();
    LONGS_EQUAL(2, found.size());
    CHECK(found.at(0).target == target_id("c") && found.at(0).change == target_change::leaving);
    CHECK(found.at(1).target == target_id("d") && found.at(1).change == target_change::gone);
    CHECK(found.at(0).order < found.at(1).order);
    const config::registration removed{8, 10};
    CHECK(found.at(1).registered == removed);
    it.apply({13, {registered(target("c", 13, "10.0.0.3:1", "print", false, 7, 3), 10)}}, now);
    const auto back = it.take_withdrawn_targets();
    LONGS_EQUAL(1, back.size());
    CHECK(back.at(0).change == target_change::ready_again && found.at(1).order < back.at(0).order);
    it.apply({14, {registered(target("c", 14, "10.0.0.3:1", "print", true, 7, 4), 10)}}, now);
    LONGS_EQUAL(1, it.take_withdrawn_targets().size());
    it.apply({15, {deleted("c", 15)}}, now);
    CHECK(it.take_withdrawn_targets().empty());
}

// Guards against a configuration built before the operator's rules are read: it would have no
// routes.
TEST(inventory, has_no_configuration_before_the_rules) {
    it.replace({5, {target("a", 2, "10.0.0.1:1")}}, now);
    CHECK(it.configuration() == nullptr);
    it.apply({6, {rules(6)}}, now);
    STRCMP_EQUAL("a ", ids().c_str());
    LONGS_EQUAL(3, it.configuration()->services.at(0).floor_slots);
}

// Guards against requests to a target that is leaving or whose registration was deleted.
TEST(inventory, excludes_leaving_and_deleted_targets) {
    start();
    it.apply({6, {target("a", 6, "10.0.0.1:1", "print", true, 1, 2)}}, now);
    STRCMP_EQUAL("b ", ids().c_str());
    it.apply({7, {deleted("b", 7)}}, now);
    STRCMP_EQUAL("", ids().c_str());
}

// Guards against treating a restarted target as leaving because its previous process was, and
// against a late registration by the previous process that restores its address.
TEST(inventory, uses_the_newest_process_of_a_target) {
    start();
    it.apply({6, {target("a", 6, "10.0.0.1:1", "print", true, 1, 2)}}, now);
    it.apply({7, {target("a", 7, "10.0.0.9:1", "print", false, 2, 1)}}, now);
    STRCMP_EQUAL("a b ", ids().c_str());
    it.apply({8, {target("a", 8, "10.0.0.1:1", "print", false, 1, 3)}}, now);
    STRCMP_EQUAL("10.0.0.9", it.configuration()->services.at(0).targets.at(0).address.ip.c_str());
}

// Guards against sending requests to a target of another service that reuses the address of a
// stopped target.
TEST(inventory, assigns_a_reused_address_to_the_newest_process) {
    start();
    it.apply({6, {target("c", 6, "10.0.0.1:1", "stock", false, 9)}}, now);
    STRCMP_EQUAL("b ", ids(0).c_str());
    STRCMP_EQUAL("c ", ids(1).c_str());
}

// Guards against using a record that can't be decoded, and against dropping the valid ones with it.
TEST(inventory, ignores_unreadable_records) {
    start();
    const feed_record bad{"targets/a", 6, unreadable_record{{error_kind::invalid_input, "x", "y"}}};
    it.apply({6, {bad}}, now);
    STRCMP_EQUAL("b ", ids().c_str());
    CHECK(it.take_notes().back().what == "Target is gone.");
}

// Guards against refusing all requests after an outage of the store in which no target could renew
// its registration, and against keeping targets forever that did not survive the outage.
TEST(inventory, keeps_lapsed_targets_until_the_return_time_ends) {
    start();
    it.record_read_failure(now, now + 2s);
    it.apply({7, {deleted("a", 6), deleted("b", 7)}}, now + 4s);
    STRCMP_EQUAL("a b ", ids().c_str());
    CHECK(it.next_expiry() == now + 6s);
    it.apply({8, {target("a", 8, "10.0.0.1:1", "print", false, 1, 9)}}, now + 5s);
    it.expire(now + 6s);
    STRCMP_EQUAL("a ", ids().c_str());
    CHECK_FALSE(it.next_expiry().has_value());
}

// Guards against keeping a deleted target because a few calls to the store failed.
TEST(inventory, short_read_failure_is_not_an_outage) {
    start();
    it.record_read_failure(now, now + 300ms);
    it.apply({6, {deleted("a", 6)}}, now + 500ms);
    STRCMP_EQUAL("b ", ids().c_str());
}

// Guards against a node that lost the store for a while and then restores a target that its peers
// have removed. In such a run, a drained target received requests 7.5 s after it had left.
TEST(inventory, removes_lapsed_targets_that_are_not_in_force) {
    start();
    auto later = std::make_shared<config::snapshot>(*it.configuration());
    later->services.at(0).targets.pop_back();
    it.set_configuration_in_force(later);
    it.record_read_failure(now, now + 2s);
    it.replace({9, {rules(1), target("a", 2, "10.0.0.1:1")}}, now + 4s);
    STRCMP_EQUAL("a ", ids().c_str());
}

// Guards against a node that takes the store to be in an outage long after peers read it again. In
// such a run, nodes kept targets that had left and sent them requests for seconds.
TEST(inventory, answer_to_a_peer_ends_an_outage) {
    start();
    it.record_read_failure(now, now + 2s);
    it.record_answer_to_peer(now + 3s);
    it.apply({6, {deleted("a", 6)}}, now + 12s);
    STRCMP_EQUAL("b ", ids().c_str());
}

// Guards against a late message about a reading before the outage that ends the outage, and against
// a return time that starts only with this node's own next call.
TEST(inventory, return_time_starts_with_the_first_answer_to_any_node) {
    start();
    it.record_read_failure(now, now + 2s);
    it.record_answer_to_peer(now - 1s);
    it.apply({6, {}}, now + 3s);
    it.record_read_failure(now + 3s, now + 5s);
    it.record_answer_to_peer(now + 6s);
    it.apply({8, {deleted("a", 8)}}, now + 7s);
    STRCMP_EQUAL("a b ", ids().c_str());
    CHECK(it.next_expiry() == now + 8s);
}

// Guards against two contents under one version: the node that still had the lapsed target refused
// its peers' content without it, and sent requests to a target that had left.
TEST(inventory, content_without_lapsed_targets_has_a_newer_version) {
    start();
    it.record_read_failure(now, now + 2s);
    it.apply({7, {deleted("a", 7)}}, now + 4s);
    const auto with_lapsed_target = it.version();
    it.expire(now + 6s);
    LONGS_EQUAL(7, it.as_of());
    CHECK(with_lapsed_target < it.version());
    const auto without = it.version();
    it.apply({8, {deleted("b", 8)}}, now + 20s);
    CHECK(without < it.version());
}

// Guards against keeping targets that were deleted in a part of the history that the store no
// longer has, so that no change reports the deletion.
TEST(inventory, full_list_removes_targets_it_lacks) {
    start();
    it.replace({9, {rules(1), target("b", 3, "10.0.0.2:1")}}, now);
    STRCMP_EQUAL("b ", ids().c_str());
    LONGS_EQUAL(9, it.as_of());
}

// Guards against a node that keeps the highest revision that it has seen after the store came back
// from an older copy: it skipped what was written up to that revision, and refused new content.
TEST(inventory, restored_store_has_newer_versions_with_lower_revisions) {
    it.replace({50, {rules(1), target("a", 2, "10.0.0.1:1")}, 1}, now);
    report_in_force();
    const auto before = it.version();
    it.replace({6, {rules(1), target("a", 2, "10.0.0.1:1")}, 2}, now + 3s);
    LONGS_EQUAL(6, it.as_of());
    LONGS_EQUAL(2, era_of(it.version()));
    CHECK(before < it.version());
    const auto restored = it.version();
    it.apply({7, {target("b", 7, "10.0.0.2:1")}, 2}, now + 4s);
    CHECK(restored < it.version());
    STRCMP_EQUAL("a b ", ids().c_str());
}

// Guards against requests to targets that have left, because a restored store shows registrations
// from before; and against leaving out those that are written again after the return.
TEST(inventory, restored_store_brings_no_removed_targets) {
    it.replace({50,
                {rules(1), target("a", 2, "10.0.0.1:1"), target("b", 3, "10.0.0.2:1"),
                 target("c", 4, "10.0.0.3:1")},
                1},
               now);
    report_in_force();
    it.apply({53, {deleted("a", 51), deleted("b", 52), deleted("c", 53)}, 1}, now + 1s);
    STRCMP_EQUAL("", ids().c_str());
    it.replace({6,
                {rules(1), target("a", 2, "10.0.0.1:1"), target("b", 5, "10.0.0.2:1"),
                 target("c", 6, "10.0.0.3:1", "print", false, 1, 2)},
                2},
               now + 3s);
    STRCMP_EQUAL("b c ", ids().c_str());
    it.apply({7, {target("a", 7, "10.0.0.1:1", "print", false, 2, 1)}, 2}, now + 4s);
    STRCMP_EQUAL("a b c ", ids().c_str());
}

// Guards against requests to targets whose leaving only a peer has read, because a restored store
// shows their registrations from before; and against leaving them out for good.
TEST(inventory, restored_store_brings_no_targets_that_peers_have_removed) {
    const auto all = {rules(1), target("a", 2, "10.0.0.1:1"), target("b", 3, "10.0.0.2:1"),
                      target("c", 4, "10.0.0.3:1")};
    it.replace({50, {all}, 1}, now);
    auto newer = std::make_shared<config::snapshot>(*it.configuration());
    newer->services.at(0).targets.resize(1);
    it.set_configuration_in_force(newer);
    it.replace({6, {all}, 2}, now + 3s);
    STRCMP_EQUAL("a ", ids().c_str());
    it.apply({7, {target("b", 7, "10.0.0.2:1")}, 2}, now + 4s);
    STRCMP_EQUAL("a b ", ids().c_str());
    const auto provisional = it.version();
    CHECK(it.next_expiry().has_value());
    it.apply({7, {}, 2}, *it.next_expiry());
    STRCMP_EQUAL("a b c ", ids().c_str());
    CHECK(provisional < it.version());
    CHECK_FALSE(it.next_expiry().has_value());
}

// Guards against going back to the older rules of a store that came back from an older copy, also
// on a node that knows the newer ones only from its peers.
TEST(inventory, restored_store_brings_no_older_rules) {
    it.replace({50, {rules(1, 9)}, 1}, now);
    auto newer = std::make_shared<config::snapshot>(*it.configuration());
    newer->rules_version = 12;
    newer->routes.at(0).path_prefix = "/newer/";
    it.set_configuration_in_force(newer);
    it.replace({6, {rules(2, 7)}, 2}, now + 3s);
    STRCMP_EQUAL("/newer/", it.configuration()->routes.at(0).path_prefix.c_str());
    LONGS_EQUAL(12, it.configuration()->rules_version);
    LONGS_EQUAL(2, it.configuration()->services.size());
    it.apply({7, {rules(7, 15)}, 2}, now + 4s);
    LONGS_EQUAL(15, it.configuration()->rules_version);
}

// Guards against one version for two contents: of two nodes that read the same revision of a
// restored store, one may know newer rules than the store has.
TEST(inventory, content_with_newer_rules_has_a_newer_version) {
    start();
    inventory fresh{{}};
    it.replace({9, {rules(1, 30)}, 1}, now);
    it.replace({6, {rules(2, 7)}, 2}, now);
    fresh.replace({6, {rules(2, 7)}, 2}, now);
    CHECK(fresh.version() < it.version());
    fresh.apply({7, {}, 2}, now);
    CHECK(it.version() < fresh.version());
}

// Guards against dropping targets that registered in the time that the store has lost, before they
// can register again; and against a node that keeps them long after its peers dropped them.
TEST(inventory, restored_store_gives_targets_time_to_register_again) {
    it.replace({50, {rules(1), target("a", 2, "10.0.0.1:1"), target("b", 3, "10.0.0.2:1")}, 1},
               now);
    report_in_force();
    it.replace({6, {rules(1), target("a", 2, "10.0.0.1:1")}, 2}, now + 3s);
    STRCMP_EQUAL("a b ", ids().c_str());
    it.expire(now + 5s);
    STRCMP_EQUAL("a ", ids().c_str());
    it.record_era(3, now + 20s);
    it.replace({4, {rules(1)}, 3}, now + 30s);
    STRCMP_EQUAL("", ids().c_str());
}

// Guards against waiting for a silent target until no time is left to ask another one.
TEST(inventory, first_byte_limit_leaves_time_for_a_second_attempt) {
    start();
    LONGS_EQUAL(1'500, it.configuration()->routes.at(0).limits.first_byte.count());
}
