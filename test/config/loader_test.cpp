#include "wigeonrill/config.h"

#include "sample_document.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace std::chrono_literals;
using sample::replace_first;

namespace {

// Checks that a document is rejected with a remedy, and with a message that contains both texts.
void check_refused(const std::string& text, const std::string& location,
                   const std::string& reason) {
    const auto parsed = config::parse_document(text, "sample.json");
    CHECK_TEXT(!parsed, ("accepted, expected: " + location + " " + reason).c_str());
    STRCMP_CONTAINS(("sample.json" + location).c_str(), parsed.error().message.c_str());
    STRCMP_CONTAINS(reason.c_str(), parsed.error().message.c_str());
    CHECK_FALSE(parsed.error().remedy.empty());
}

} // namespace

TEST_GROUP(loader){};

// Guards against keys that are accepted but not stored.
TEST(loader, reads_every_key) {
    const auto parsed = config::parse_document(sample::document, "sample.json");
    CHECK_TEXT(parsed.has_value(), parsed ? "" : parsed.error().message.c_str());
    LONGS_EQUAL(7, parsed->version);
    STRCMP_EQUAL("2026-03-01T08:30:00.000Z", config::format_time(parsed->published).c_str());
    CHECK(parsed->resend_window == 12min && parsed->owner_lease == 5h);
    const auto* print = config::find_service(*parsed, service_name("print"));
    const config::service expected{
        service_name("print"),
        7,
        config::health_weight::detection,
        32,
        {{target_id("p1"), {"192.0.2.1", 8080}, domain_name("a"), 6, 20s},
         {target_id("p2"), {"192.0.2.2", 8080}, domain_name("b"), 6, 0s}}};
    CHECK(print != nullptr && *print == expected);
    const config::route charge{route_name("charge"),
                               service_name("print"),
                               "shop.example",
                               {"POST"},
                               "/charge",
                               config::repeat_policy::at_most_once,
                               config::key_policy::optional,
                               false,
                               65536,
                               {30s, 250ms, 5s}};
    CHECK(parsed->routes.at(0) == charge);
    CHECK(parsed->routes.at(1).hedge && parsed->routes.at(1).max_body_bytes == 1000);
    config::workspace lennox;
    lennox.name = workspace_name("lennox");
    lennox.keys = {config::digest_of_key("key-of-lennox")};
    lennox.priority = 1;
    lennox.requests_per_second = 50;
    lennox.burst = 20.5;
    CHECK(parsed->workspaces.at(0) == lennox);
    CHECK(parsed->authentication == config::caller_authentication::api_key);
    CHECK(parsed->routes.at(0).needs_api_key && !parsed->routes.at(1).needs_api_key);
    LONGS_EQUAL(2, parsed->key_owners.at(1).owners.size());
    CHECK(parsed->key_owners.at(1).announced < parsed->key_owners.at(1).effective_from);
    CHECK(parsed->vms.at(0) == (config::vm_record{{"192.0.2.1", 8080},
                                                  domain_name("a"),
                                                  config::vm_role::target,
                                                  config::vm_state::leaving}));
}

// Guards against a workspace with keys that nobody can use, a key whose holder is arbitrary, and a
// burst that never applies.
TEST(loader, refuses_wrong_workspaces) {
    const std::string digest = "f44b380903b29c30f01b166cc0e0f283";
    for (const auto* wrong : {"", "key-of-lennox", "F44B380903B29C30F01B166CC0E0F283"}) {
        check_refused(replace_first(digest, wrong), ": workspaces.lennox.api_key_digests",
                      "not a digest");
    }
    check_refused(
        replace_first("\"macrae\": {}", "\"macrae\": {\"api_key_digests\": [\"" + digest + "\"]}"),
        ": workspaces.lennox.api_key_digests", "is also a key of workspaces.macrae");
    check_refused(replace_first("\"macrae\": {}", "\"macrae\": {\"burst\": 3}"),
                  ": workspaces.macrae.burst", "no effect");
}

// Guards against duplicate keys, of which the JSON parser silently keeps the last one.
TEST(loader, refuses_duplicate_keys) {
    check_refused(
        replace_first("\"weight\": \"detection\"", "\"floor_slots\": 1, \"weight\": \"detection\""),
        ": services.print.floor_slots", "duplicate key");
    check_refused(replace_first("\"stock\": {", "\"print\": {"), ": services.print",
                  "duplicate key");
    check_refused(replace_first("\"vms\": [", "\"vms\": [], \"vms\": ["), ": vms", "duplicate key");
}

// Guards against misspelt keys that are ignored, so that a default value is used.
TEST(loader, refuses_unknown_keys) {
    check_refused(replace_first("\"rules\"", "\"rulez\""), ": rulez", "unknown key");
    check_refused(replace_first("\"hedge\"", "\"hedging\""), ": routes.proof.hedging",
                  "unknown key");
    check_refused(replace_first("\"total\"", "\"totals\""), ": routes.charge.limits.totals",
                  "unknown key");
    check_refused(replace_first("\"owner_lease\"", "\"lease\""), ": rules.lease", "unknown key");
    check_refused(replace_first("\"cold_start\"", "\"warm\""), ": services.print.targets.p1.warm",
                  "unknown key");
    check_refused(replace_first("\"state\"", "\"status\""), ": vms[0].status", "unknown key");
    check_refused(replace_first("\"announced\"", "\"published\""), ": key_owners[1].published",
                  "unknown key");
}

// Guards against a value of the wrong type that is converted instead of rejected.
TEST(loader, refuses_wrong_types) {
    check_refused(replace_first("\"floor_slots\": 7", "\"floor_slots\": \"7\""),
                  ": services.print.floor_slots", "not a whole number");
    check_refused(replace_first("\"hedge\": true", "\"hedge\": 1"), ": routes.proof.hedge",
                  "not true or false");
    check_refused(replace_first("[\"POST\"]", "\"POST\""), ": routes.charge.methods",
                  "not a list of strings");
    check_refused(replace_first("\"domain\": \"a\"", "\"domain\": 4"),
                  ": services.print.targets.p1.domain", "not a string");
    check_refused(replace_first("\"macrae\": {}", "\"macrae\": 50"), ": workspaces.macrae",
                  "not an object");
    check_refused("[]", "", "not an object");
}

// Guards against a number without a unit that is taken for milliseconds or seconds.
TEST(loader, refuses_wrong_units) {
    check_refused(replace_first("\"12m\"", "600"), ": rules.resend_window",
                  "not a string with a unit");
    check_refused(replace_first("\"12m\"", "\"10\""), ": rules.resend_window", "not a duration");
    check_refused(replace_first("\"12m\"", "\"10 min\""), ": rules.resend_window",
                  "not a duration");
    check_refused(replace_first("\"12m\"", "\"-10m\""), ": rules.resend_window", "not a duration");
    check_refused(replace_first("\"64KiB\"", "\"64K\""), ": routes.charge.max_body", "not a size");
    check_refused(replace_first("2026-03-01T08:30:00Z", "2026-02-30T08:30:00Z"), ": published",
                  "not a time");
    check_refused(replace_first("2026-03-01T08:30:00Z", "2026-03-01 08:30"), ": published",
                  "not a time");
}

// Guards against numbers that wrap around, are truncated or are negative.
TEST(loader, refuses_numbers_out_of_range) {
    check_refused(replace_first("\"slots\": 6", "\"slots\": -6"),
                  ": services.print.targets.p1.slots", "-6");
    check_refused(replace_first("\"slots\": 6", "\"slots\": 0"),
                  ": services.print.targets.p1.slots", "range");
    check_refused(replace_first("\"slots\": 6", "\"slots\": 4294967302"),
                  ": services.print.targets.p1.slots", "range");
    check_refused(replace_first("\"version\": 7", "\"version\": 18446744073709551623"), ": version",
                  "range");
    check_refused(replace_first("\"version\": 7", "\"version\": 7.5"), ": version", "range");
    check_refused(replace_first("\"12m\"", "\"9223372036854775807h\""), ": rules.resend_window",
                  "not a duration");
    check_refused(replace_first("\"max_body\": 1000", "\"max_body\": -1"),
                  ": routes.proof.max_body", "-1");
    check_refused(replace_first("\"max_body\": 1000", "\"max_body\": 1e400"), "", "range");
}

// Guards against a document that refers to a record it does not define, or defines a record twice.
TEST(loader, refuses_contradictions_between_records) {
    check_refused(replace_first("\"service\": \"print\"", "\"service\": \"prints\""),
                  ": routes.charge.service", "no service \"prints\"");
    check_refused(replace_first("\"floor_slots\": 7", "\"floor_slots\": 13"),
                  ": services.print.floor_slots", "above the 12 slots");
    check_refused(replace_first("192.0.2.3:8080", "192.0.2.1:8080"),
                  ": services.stock.targets.s1.address",
                  "also the address of services.print.targets.p1");
    check_refused(replace_first("192.0.2.3:8080", "192.0.2.300:8080"),
                  ": services.stock.targets.s1.address", "not a valid IP");
    check_refused(replace_first("\"198.51.100.1:8080\", ", "\"198.51.100.2:8080\", "),
                  ": key_owners[1].owners", "duplicate address");
    check_refused(replace_first("\"192.0.2.1:8080\", \"domain\": \"a\", \"role\"",
                                "\"198.51.100.1:7000\", \"domain\": \"a\", \"role\""),
                  ": vms: duplicate address 198.51.100.1:7000", "");
    check_refused(
        replace_first(
            "\"path_prefix\": \"/proof\"",
            "\"host\": \"shop.example\", \"methods\": [\"POST\"], \"path_prefix\": \"/charge\""),
        ": routes.proof", "same requests as routes.charge");
    check_refused(replace_first("\"p1\": {", "\"p 1\": {"), ": services.print.targets.p 1",
                  "valid name");
}

// Guards against routes that no request can match, or whose first_byte limit never applies.
TEST(loader, refuses_routes_that_can_not_work) {
    check_refused(replace_first("\"shop.example\"", "\"Shop.example\""), ": routes.charge.host",
                  "lower-case");
    check_refused(replace_first("\"/charge\"", "\"charge\""), ": routes.charge.path_prefix",
                  "not a path");
    check_refused(replace_first("\"/charge\"", "\"/charge?a\""), ": routes.charge.path_prefix",
                  "not a path");
    check_refused(replace_first("[\"POST\"]", "[\"post\"]"), ": routes.charge.methods",
                  "upper case");
    check_refused(replace_first("\"250ms\"", "\"31s\""), ": routes.charge.limits.first_byte",
                  "above the total");
}

// Guards against rules that would let an at-most-once request run twice.
TEST(loader, refuses_unsafe_repeat_rules) {
    check_refused(replace_first("\"repeat\": \"at_most_once\",", ""), ": routes.charge.repeat",
                  "missing");
    check_refused(replace_first("\"at_most_once\"", "\"once\""), ": routes.charge.repeat",
                  "not a known value");
    check_refused(replace_first("\"key\": \"optional\",", "\"hedge\": true,"),
                  ": routes.charge.hedge", "twice");
    check_refused(replace_first("\"at_most_once\"", "\"idempotent\""), ": routes.charge.key",
                  "no effect");
    check_refused(replace_first("2026-03-02T00:00:00Z", "2026-02-28T04:59:59Z"),
                  ": key_owners[1].effective_from", "owner_lease");
    check_refused(replace_first("2026-02-28T00:00:00Z", "2026-03-01T08:30:01Z"),
                  ": key_owners[1].announced", "later than the publication");
    check_refused(replace_first("2026-01-01T00:00:00Z", "2026-03-02T00:00:00Z"),
                  ": key_owners[1].effective_from", "not later");
}

// Guards against syntax errors reported without a line, and against maliciously deep nesting.
TEST(loader, names_the_line_of_a_syntax_error) {
    check_refused(replace_first("\"rules\": {", "\"rules\" {"), ":4: not valid JSON", "");
    check_refused(replace_first("\"max_body\": 1000", "\"max_body\": \"\xff\""),
                  ":17: not valid JSON", "");
    check_refused(replace_first("\"vms\": [", "\"vms\": [[[[[[[[[[[[[[[[[[["), ": vms.[]",
                  "16 deep");
    check_refused(replace_first("\"format\": 1", "\"format\": 2"), ": format",
                  "not a format that this build");
}

// Guards against an unreadable file that is taken for an empty configuration.
TEST(loader, reports_unreadable_files) {
    const auto missing = config::load_file("test/config/absent.json");
    CHECK(!missing && missing.error().kind == error_kind::not_found);
    CHECK(!config::load_file("test/config"));
}

// Guards against errors in the conversion of units, fractions and time zone offsets.
TEST(loader, converts_units) {
    CHECK(config::parse_duration("90m") == 5'400'000ms);
    CHECK(config::parse_size("10MiB") == 10'485'760U);
    CHECK(config::parse_size("10MB") == 10'000'000U);
    CHECK(config::parse_time("2026-03-01T16:30:00.25+08:00") ==
          *config::parse_time("2026-03-01T08:30:00.250Z"));
    CHECK(!config::parse_time("2026-03-01T24:00:00Z"));
    STRCMP_EQUAL("1970-01-01T00:00:00.000Z", config::format_time(wall_time{}).c_str());
}
