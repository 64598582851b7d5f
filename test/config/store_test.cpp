#include "wigeonrill/config.h"

#include "sample_document.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace wigeonrill;
using namespace std::chrono_literals;
using config::apply_outcome;
using sample::with;

namespace {

constexpr wall_time now{};

std::string as_version(int version, const std::string& text = sample::document) {
    return with("\"version\": 7", "\"version\": " + std::to_string(version), text);
}

config::change_set publish(const std::string& text, const config::change_set* previous = nullptr) {
    auto all = config::split_document(text, "sample.json", previous);
    CHECK_TEXT(all.has_value(), all ? "" : all.error().message.c_str());
    return std::move(*all);
}

void is_in_force(const config::store& held, const std::string& text) {
    const auto expected = config::parse_document(text, "sample.json");
    CHECK_TEXT(expected.has_value(), expected ? "" : expected.error().message.c_str());
    CHECK(held.current() != nullptr && *held.current() == *expected);
}

void outcome_is(apply_outcome expected, apply_outcome actual) {
    STRCMP_EQUAL(std::string(enum_name(config::apply_outcome_names, expected)).c_str(),
                 std::string(enum_name(config::apply_outcome_names, actual)).c_str());
}

} // namespace

TEST_GROUP(store) {
    config::store held;
    const std::string first = as_version(7);
    const std::string second = with("\"/proof\"", "\"/proofs\"", as_version(8));
    const config::change_set first_set = publish(first);
    const config::change_set second_set = publish(second, &first_set);

    void reason_contains(const std::string& text) {
        CHECK(held.last_rejection().has_value());
        STRCMP_CONTAINS(text.c_str(), held.last_rejection()->message.c_str());
    }
};

// Guards against shards that lose or change records on the way.
TEST(store, shards_hold_the_whole_document) {
    outcome_is(apply_outcome::accepted, held.apply(first_set, now));
    is_in_force(held, first);
    CHECK(held.changes_since(0) == first_set);
}

// Guards against a change of one route that re-sends or parses again what did not change.
TEST(store, one_change_sends_one_shard) {
    (void)held.apply(first_set, now);
    const auto before = held.current();
    outcome_is(apply_outcome::accepted, held.apply(second_set, now));
    is_in_force(held, second);
    const auto changes = held.changes_since(7);
    LONGS_EQUAL(1, changes.changed.size());
    STRCMP_EQUAL("routes/0-of-1", changes.changed.front().name.c_str());
    POINTERS_EQUAL(before->workspaces.values().data(), held.current()->workspaces.values().data());
}

// Guards against a node that returns to an older version, from the platform or from peers.
TEST(store, ignores_older_versions_and_versions_out_of_order) {
    const auto third_set = publish(as_version(9), &second_set);
    (void)held.apply(first_set, now);
    outcome_is(apply_outcome::accepted, held.apply(third_set, now));
    outcome_is(apply_outcome::not_newer, held.apply(second_set, now));
    outcome_is(apply_outcome::not_newer, held.apply(first_set, now));
    is_in_force(held, as_version(9));
}

// Guards against two contents under one version, of which each node would hold another.
TEST(store, reports_another_content_under_the_version_in_force) {
    (void)held.apply(first_set, now);
    const auto other = publish(with("\"/proof\"", "\"/proofs\"", first));
    outcome_is(apply_outcome::rejected, held.apply(other, now));
    reason_contains("version 7: another content has the version in force");
    is_in_force(held, first);
    outcome_is(apply_outcome::not_newer, held.apply(first_set, now));
}

// Guards against an invalid version that comes into force or blocks the next valid one.
TEST(store, skips_an_invalid_version_between_two_valid) {
    const auto invalid =
        publish(with("\"service\": \"print\"", "\"service\": \"gone\"", as_version(8)), &first_set);
    const auto third_set = publish(as_version(9), &invalid);
    (void)held.apply(first_set, now);
    outcome_is(apply_outcome::rejected, held.apply(invalid, now));
    reason_contains("version 8: routes.charge.service");
    outcome_is(apply_outcome::rejected, held.apply(invalid, now));
    is_in_force(held, first);
    outcome_is(apply_outcome::accepted, held.apply(third_set, now));
    is_in_force(held, as_version(9));
    CHECK(held.changes_since(9).changed.empty());
}

// Guards against an old build that stops the spread of a format it can't read.
TEST(store, keeps_a_newer_format_to_pass_it_on) {
    (void)held.apply(first_set, now);
    auto newer = second_set;
    newer.format = 2;
    outcome_is(apply_outcome::rejected, held.apply(newer, now));
    reason_contains("format 2");
    CHECK(held.newer_format() == newer);
    is_in_force(held, first);
    outcome_is(apply_outcome::accepted, held.apply(publish(as_version(9)), now));
    CHECK(!held.newer_format());
    auto damaged = publish(as_version(10));
    damaged.format = 2;
    damaged.changed.front().content += " ";
    (void)held.apply(damaged, now);
    CHECK(!held.newer_format());
}

// Guards against a mixture of two versions when the sender assumed another base.
TEST(store, asks_again_when_the_base_differs) {
    const auto third_set = publish(as_version(9, with("\"stock\"", "\"store\"")), &second_set);
    config::store sender;
    (void)sender.apply(first_set, now);
    (void)sender.apply(second_set, now);
    (void)sender.apply(third_set, now);
    (void)held.apply(first_set, now);
    outcome_is(apply_outcome::base_mismatch, held.apply(sender.changes_since(8), now));
    const auto changes = sender.changes_since(7);
    LONGS_EQUAL(1, changes.removed.size());
    STRCMP_EQUAL("service/stock", changes.removed.front().c_str());
    outcome_is(apply_outcome::accepted, held.apply(changes, now));
    CHECK(*held.current() == *sender.current());
    CHECK(held.changes_since(0) == sender.changes_since(0));
}

// Guards against a base from before the sender's start, whose removed shards it doesn't know.
TEST(store, sends_everything_to_an_unknown_base) {
    (void)held.apply(second_set, now);
    const auto changes = held.changes_since(7);
    LONGS_EQUAL(0, changes.base_version);
    LONGS_EQUAL(second_set.changed.size(), changes.changed.size());
    LONGS_EQUAL(0, config::store().changes_since(7).version);
}

// Guards against a part of a version in force, and against damage that blocks the whole version.
TEST(store, refuses_missing_and_damaged_shards) {
    auto missing = first_set;
    missing.changed.erase(missing.changed.begin() + 2);
    outcome_is(apply_outcome::rejected, held.apply(missing, now));
    reason_contains("one is missing or stale");
    auto no_rules = first_set;
    std::erase_if(no_rules.changed, [](const auto& it) { return it.name == "rules"; });
    no_rules.digest = config::digest_of(no_rules.changed);
    outcome_is(apply_outcome::rejected, held.apply(no_rules, now));
    reason_contains("\"rules\" is missing");
    auto damaged = first_set;
    damaged.changed.front().content += " ";
    outcome_is(apply_outcome::rejected, held.apply(damaged, now));
    reason_contains("does not match its digest");
    CHECK(held.current() == nullptr);
    outcome_is(apply_outcome::accepted, held.apply(first_set, now));
}

// Guards against records that two shards define, which no single shard shows.
TEST(store, refuses_one_name_in_two_shards) {
    auto twice = first_set;
    const auto routes = std::ranges::find(twice.changed, "routes/0-of-1", &config::shard::name);
    auto copy = *routes;
    copy.name = "routes/1-of-2";
    twice.changed.insert(routes + 1, copy);
    twice.digest = config::digest_of(twice.changed);
    outcome_is(apply_outcome::rejected, held.apply(twice, now));
    reason_contains("routes.charge: duplicate");
}

// Guards against a removed service that routes in unchanged shards still name.
TEST(store, refuses_the_removal_of_a_service_in_use) {
    (void)held.apply(first_set, now);
    auto without = publish(as_version(8), &first_set);
    std::erase_if(without.changed, [](const auto& it) { return it.name == "service/print"; });
    without.digest = config::digest_of(without.changed);
    outcome_is(apply_outcome::rejected, held.apply(without, now));
    reason_contains("no service \"print\"");
    is_in_force(held, first);
}

// Guards against a shard of an unknown kind that is dropped silently.
TEST(store, refuses_unknown_shards_and_versions_out_of_range) {
    auto unknown = first_set;
    unknown.changed.push_back({"zones", 7, config::digest_of("{}"), "{}"});
    unknown.digest = config::digest_of(unknown.changed);
    outcome_is(apply_outcome::rejected, held.apply(unknown, now));
    reason_contains("zones");
    auto future = first_set;
    future.changed.front().version = 8;
    future.digest = config::digest_of(future.changed);
    outcome_is(apply_outcome::rejected, held.apply(future, now));
    reason_contains("version of its own");
}

// Guards against a confirmation of another version that keeps a stale key owner running.
TEST(store, counts_confirmations_of_the_version_in_force_only) {
    (void)held.apply(first_set, now);
    held.confirm(6, now + 1h);
    held.confirm(8, now + 1h);
    CHECK(held.confirmed() == now);
    held.confirm(7, now + 1h);
    held.confirm(7, now + 30min);
    CHECK(held.confirmed() == now + 1h);
}

// Guards against parts that all change with one record, or that exceed the platform's limit.
TEST(store, one_changed_workspace_changes_one_of_many_parts) {
    std::string list;
    for (int i = 0; i < 3000; ++i) {
        list += "\"customer-" + std::to_string(i) + "\": {\"requests_per_second\": 10}, ";
    }
    const auto large = with("\"lennox\"", list + "\"lennox\"", first);
    const auto before = publish(large);
    const auto after = publish(with("\"customer-99\": {", "\"customer-00\": {}, \"customer-99\": {",
                                    with("\"version\": 7", "\"version\": 8", large)),
                               &before);
    CHECK(before.changed.size() > 10);
    LONGS_EQUAL(before.changed.size(), after.changed.size());
    LONGS_EQUAL(1, std::ranges::count(after.changed, 8U, &config::shard::version));
    (void)held.apply(before, now);
    outcome_is(apply_outcome::accepted, held.apply(after, now));
    LONGS_EQUAL(3003, held.current()->workspaces.size());
}

// Guards against a value that the platform can't store.
TEST(store, refuses_a_service_above_the_limit_of_a_value) {
    std::string targets;
    for (int i = 0; i < 16'000; ++i) {
        targets += "\"target-" + std::to_string(i) +
                   "\": {\"address\": \"192.0.2.9:80\", \"domain\": \"a\", \"slots\": 1}, ";
    }
    const auto split = config::split_document(with("\"s1\"", targets + "\"s1\""), "sample.json");
    CHECK(!split);
    STRCMP_CONTAINS("shard service/stock", split.error().message.c_str());
}
