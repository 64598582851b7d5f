#include "wigeonrill/config.h"

#include "sample_document.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace wigeonrill;
using namespace std::chrono_literals;
using config::apply_outcome;
using sample::replace_first;

namespace {

constexpr wall_time now{};

std::string document_with_version(int version, const std::string& text = sample::document) {
    return replace_first("\"version\": 7", "\"version\": " + std::to_string(version), text);
}

config::change_set make_change_set(const std::string& text,
                                   const config::change_set* previous = nullptr) {
    auto all = config::split_document(text, "sample.json", previous);
    CHECK_TEXT(all.has_value(), all ? "" : all.error().message.c_str());
    return std::move(*all);
}

void update_digests(config::change_set& all) {
    all.digest = config::digest_of(all.changed);
    all.content_digest = config::content_digest_of(all.changed);
}

void check_in_force(const config::configuration_store& subject, const std::string& text) {
    const auto expected = config::parse_document(text, "sample.json");
    CHECK_TEXT(expected.has_value(), expected ? "" : expected.error().message.c_str());
    CHECK(subject.current() != nullptr && *subject.current() == *expected);
}

void check_outcome(apply_outcome expected, apply_outcome actual) {
    STRCMP_EQUAL(std::string(enum_name(config::apply_outcome_names, expected)).c_str(),
                 std::string(enum_name(config::apply_outcome_names, actual)).c_str());
}

} // namespace

TEST_GROUP(store) {
    config::configuration_store subject;
    const std::string first = document_with_version(7);
    const std::string second = replace_first("\"/proof\"", "\"/proofs\"", document_with_version(8));
    const config::change_set first_set = make_change_set(first);
    const config::change_set second_set = make_change_set(second, &first_set);

    void check_reason_contains(const std::string& text) {
        CHECK(subject.last_rejection().has_value());
        STRCMP_CONTAINS(text.c_str(), subject.last_rejection()->message.c_str());
    }
};

// Guards against records that are lost or changed when a document is split into shards.
TEST(store, shards_hold_the_whole_document) {
    check_outcome(apply_outcome::accepted, subject.apply(first_set, now));
    check_in_force(subject, first);
    CHECK(subject.changes_since(0) == first_set);
}

// Guards against a change of one route after which unchanged shards are sent or parsed again.
TEST(store, changed_route_sends_only_its_shard) {
    (void)subject.apply(first_set, now);
    const auto before = subject.current();
    check_outcome(apply_outcome::accepted, subject.apply(second_set, now));
    check_in_force(subject, second);
    const auto changes = subject.changes_since(7);
    LONGS_EQUAL(1, changes.changed.size());
    STRCMP_EQUAL("routes/0-of-1", changes.changed.front().name.c_str());
    POINTERS_EQUAL(before->workspaces.values().data(),
                   subject.current()->workspaces.values().data());
}

// Guards against a node that goes back to an older version, received from the platform or a peer.
TEST(store, ignores_older_versions_and_versions_out_of_order) {
    const auto third_set = make_change_set(document_with_version(9), &second_set);
    (void)subject.apply(first_set, now);
    check_outcome(apply_outcome::accepted, subject.apply(third_set, now));
    check_outcome(apply_outcome::not_newer, subject.apply(second_set, now));
    check_outcome(apply_outcome::not_newer, subject.apply(first_set, now));
    check_in_force(subject, document_with_version(9));
}

// Guards against a newer version with older rules, from a node whose source came back from an older
// copy; and against versions of a source that numbers no rules being refused.
TEST(store, ignores_newer_versions_with_older_rules) {
    auto numbered = first_set;
    numbered.rules_version = 20;
    check_outcome(apply_outcome::accepted, subject.apply(numbered, now));
    auto older = make_change_set(document_with_version(8));
    older.rules_version = 19;
    check_outcome(apply_outcome::older_rules, subject.apply(older, now));
    LONGS_EQUAL(7, subject.version());
    LONGS_EQUAL(20, subject.changes_since(0).rules_version);
    older.rules_version = 20;
    check_outcome(apply_outcome::accepted, subject.apply(older, now));
    check_outcome(apply_outcome::accepted,
                  subject.apply(make_change_set(document_with_version(9)), now));
}

// Guards against different contents published under the same version, so that nodes would differ.
TEST(store, reports_another_content_under_the_version_in_force) {
    (void)subject.apply(first_set, now);
    const auto other = make_change_set(replace_first("\"/proof\"", "\"/proofs\"", first));
    check_outcome(apply_outcome::rejected, subject.apply(other, now));
    check_reason_contains("version 7: the version in force has different content");
    check_in_force(subject, first);
    check_outcome(apply_outcome::not_newer, subject.apply(first_set, now));
}

// Guards against an invalid version that takes effect or blocks the next valid one.
TEST(store, rejects_an_invalid_version_and_accepts_the_next) {
    const auto invalid = make_change_set(
        replace_first("\"service\": \"print\"", "\"service\": \"gone\"", document_with_version(8)),
        &first_set);
    const auto third_set = make_change_set(document_with_version(9), &invalid);
    (void)subject.apply(first_set, now);
    check_outcome(apply_outcome::rejected, subject.apply(invalid, now));
    check_reason_contains("version 8: routes.charge.service");
    check_outcome(apply_outcome::rejected, subject.apply(invalid, now));
    check_in_force(subject, first);
    check_outcome(apply_outcome::accepted, subject.apply(third_set, now));
    check_in_force(subject, document_with_version(9));
    CHECK(subject.changes_since(9).changed.empty());
}

// Guards against an old build that does not pass on a change set in a format that it can't read.
TEST(store, keeps_a_newer_format_to_pass_it_on) {
    (void)subject.apply(first_set, now);
    auto newer = second_set;
    newer.format = 2;
    check_outcome(apply_outcome::rejected, subject.apply(newer, now));
    check_reason_contains("format 2");
    CHECK(subject.unsupported_change_set() == newer);
    check_in_force(subject, first);
    check_outcome(apply_outcome::accepted,
                  subject.apply(make_change_set(document_with_version(9)), now));
    CHECK(!subject.unsupported_change_set());
    auto damaged = make_change_set(document_with_version(10));
    damaged.format = 2;
    damaged.changed.front().content += " ";
    (void)subject.apply(damaged, now);
    CHECK(!subject.unsupported_change_set());
}

// Guards against a mixture of two versions if the sender assumed a different base version.
TEST(store, rejects_changes_to_another_base) {
    const auto third_set = make_change_set(
        document_with_version(
            9, replace_first("\"stock\"", "\"store\"", replace_first("\"/proof\"", "\"/proofs\""))),
        &second_set);
    config::configuration_store sender;
    (void)sender.apply(first_set, now);
    (void)sender.apply(second_set, now);
    (void)sender.apply(third_set, now);
    (void)subject.apply(first_set, now);
    check_outcome(apply_outcome::base_mismatch, subject.apply(sender.changes_since(8), now));
    const auto changes = sender.changes_since(7);
    LONGS_EQUAL(1, changes.removed.size());
    STRCMP_EQUAL("service/stock", changes.removed.front().c_str());
    check_outcome(apply_outcome::accepted, subject.apply(changes, now));
    CHECK(*subject.current() == *sender.current());
    CHECK(subject.changes_since(0) == sender.changes_since(0));
}

// Guards against an incomplete change set for a base version older than the sender's history. The
// sender does not know which shards were removed since then.
TEST(store, sends_all_shards_if_base_is_unknown) {
    (void)subject.apply(second_set, now);
    const auto changes = subject.changes_since(7);
    LONGS_EQUAL(0, changes.base_version);
    LONGS_EQUAL(second_set.changed.size(), changes.changed.size());
    LONGS_EQUAL(0, config::configuration_store().changes_since(7).version);
}

// Guards against an incomplete version that takes effect, and against a damaged copy that blocks
// the intact version.
TEST(store, refuses_missing_and_damaged_shards) {
    auto missing = first_set;
    missing.changed.erase(missing.changed.begin() + 2);
    check_outcome(apply_outcome::rejected, subject.apply(missing, now));
    check_reason_contains("one is missing or stale");
    auto without_rules = first_set;
    std::erase_if(without_rules.changed, [](const auto& it) { return it.name == "rules"; });
    update_digests(without_rules);
    check_outcome(apply_outcome::rejected, subject.apply(without_rules, now));
    check_reason_contains("\"rules\" is missing");
    auto damaged = first_set;
    damaged.changed.front().content += " ";
    check_outcome(apply_outcome::rejected, subject.apply(damaged, now));
    check_reason_contains("does not match its digest");
    CHECK(subject.current() == nullptr);
    check_outcome(apply_outcome::accepted, subject.apply(first_set, now));
}

// Guards against a shard of a valid version that is removed although it belongs to the version.
TEST(store, refuses_a_shard_that_is_both_changed_and_removed) {
    (void)subject.apply(first_set, now);
    auto contradictory = second_set;
    contradictory.base_version = 7;
    contradictory.removed = {"workspaces/0-of-1"};
    check_outcome(apply_outcome::rejected, subject.apply(contradictory, now));
    check_reason_contains("shard workspaces/0-of-1 is both changed and removed");
    check_outcome(apply_outcome::accepted, subject.apply(second_set, now));
    check_in_force(subject, second);
}

// Guards against a record that two shards define, which can't be seen in either shard alone.
TEST(store, refuses_one_name_in_two_shards) {
    auto twice = first_set;
    const auto routes = std::ranges::find(twice.changed, "routes/0-of-1", &config::shard::name);
    auto copy = *routes;
    copy.name = "routes/1-of-2";
    twice.changed.insert(routes + 1, copy);
    update_digests(twice);
    check_outcome(apply_outcome::rejected, subject.apply(twice, now));
    check_reason_contains("routes.charge: duplicate");
}

// Guards against the removal of a service that routes in unchanged shards still refer to.
TEST(store, refuses_the_removal_of_a_service_in_use) {
    (void)subject.apply(first_set, now);
    auto without_service = make_change_set(document_with_version(8), &first_set);
    std::erase_if(without_service.changed,
                  [](const auto& it) { return it.name == "service/print"; });
    update_digests(without_service);
    check_outcome(apply_outcome::rejected, subject.apply(without_service, now));
    check_reason_contains("no service \"print\"");
    check_in_force(subject, first);
}

// Guards against a shard of an unknown section or with an invalid version that is silently ignored.
TEST(store, refuses_unknown_shards_and_versions_out_of_range) {
    auto unknown = first_set;
    unknown.changed.push_back({"zones", 7, config::digest_of("{}"), "{}"});
    update_digests(unknown);
    check_outcome(apply_outcome::rejected, subject.apply(unknown, now));
    check_reason_contains("zones");
    auto future = first_set;
    future.changed.front().version = 8;
    update_digests(future);
    check_outcome(apply_outcome::rejected, subject.apply(future, now));
    check_reason_contains("shard version that is 0 or above the configuration version");
}

// Guards against a confirmation of another version that keeps an outdated key owner active.
TEST(store, counts_confirmations_of_the_version_in_force_only) {
    (void)subject.apply(first_set, now);
    subject.confirm(6, now + 1h);
    subject.confirm(8, now + 1h);
    CHECK(subject.confirmed_at() == now);
    subject.confirm(7, now + 1h);
    subject.confirm(7, now + 30min);
    CHECK(subject.confirmed_at() == now + 1h);
}

// Guards against a change of one record that changes many shards, and against a long list that is
// not divided into shards.
TEST(store, one_changed_workspace_changes_one_of_many_parts) {
    std::string list;
    for (int i = 0; i < 3000; ++i) {
        list += "\"customer-" + std::to_string(i) + "\": {\"requests_per_second\": 10}, ";
    }
    const auto large = replace_first("\"lennox\"", list + "\"lennox\"", first);
    const auto before = make_change_set(large);
    const auto after = make_change_set(
        replace_first("\"customer-99\": {", "\"customer-00\": {}, \"customer-99\": {",
                      replace_first("\"version\": 7", "\"version\": 8", large)),
        &before);
    CHECK(before.changed.size() > 10);
    LONGS_EQUAL(before.changed.size(), after.changed.size());
    LONGS_EQUAL(1, std::ranges::count(after.changed, 8U, &config::shard::version));
    (void)subject.apply(before, now);
    check_outcome(apply_outcome::accepted, subject.apply(after, now));
    LONGS_EQUAL(3003, subject.current()->workspaces.size());
}

// Guards against a shard larger than the platform's limit for one value.
TEST(store, refuses_a_service_above_the_limit_of_a_value) {
    std::string targets;
    for (int i = 0; i < 16'000; ++i) {
        targets += "\"target-" + std::to_string(i) +
                   "\": {\"address\": \"192.0.2.9:80\", \"domain\": \"a\", \"slots\": 1}, ";
    }
    const auto split =
        config::split_document(replace_first("\"s1\"", targets + "\"s1\""), "sample.json");
    CHECK(!split);
    STRCMP_CONTAINS("shard service/stock", split.error().message.c_str());
}
