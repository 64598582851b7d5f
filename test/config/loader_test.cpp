#include "wigeonrill/config.h"

#include "sample_document.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace std::chrono_literals;
using sample::with;

namespace {

// Checks that a document is refused with a message that holds both texts, and with a remedy.
void refused(const std::string& text, const std::string& place, const std::string& reason) {
    const auto parsed = config::parse_document(text, "sample.json");
    CHECK_TEXT(!parsed, ("accepted, expected: " + place + " " + reason).c_str());
    STRCMP_CONTAINS(("sample.json" + place).c_str(), parsed.error().message.c_str());
    STRCMP_CONTAINS(reason.c_str(), parsed.error().message.c_str());
    CHECK_FALSE(parsed.error().remedy.empty());
}

} // namespace

TEST_GROUP(loader){};

// Guards against keys that are accepted and then not used.
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
    CHECK(parsed->workspaces.at(0) == (config::workspace{workspace_name("lennox"), 50}));
    LONGS_EQUAL(2, parsed->key_owners.at(1).owners.size());
    CHECK(parsed->key_owners.at(1).announced < parsed->key_owners.at(1).effective_from);
    CHECK(parsed->vms.at(0) == (config::vm_record{{"192.0.2.1", 8080},
                                                  domain_name("a"),
                                                  config::vm_role::target,
                                                  config::vm_state::leaving}));
}

// Guards against silent resolution of duplicate keys: the parser alone keeps the last one.
TEST(loader, refuses_duplicate_keys) {
    refused(with("\"weight\": \"detection\"", "\"floor_slots\": 1, \"weight\": \"detection\""),
            ": services.print.floor_slots", "duplicate key");
    refused(with("\"stock\": {", "\"print\": {"), ": services.print", "duplicate key");
    refused(with("\"vms\": [", "\"vms\": [], \"vms\": ["), ": vms", "duplicate key");
}

// Guards against misspelt keys that would leave a default in force.
TEST(loader, refuses_unknown_keys) {
    refused(with("\"rules\"", "\"rulez\""), ": rulez", "unknown key");
    refused(with("\"hedge\"", "\"hedging\""), ": routes.proof.hedging", "unknown key");
    refused(with("\"total\"", "\"totals\""), ": routes.charge.limits.totals", "unknown key");
    refused(with("\"owner_lease\"", "\"lease\""), ": rules.lease", "unknown key");
    refused(with("\"cold_start\"", "\"warm\""), ": services.print.targets.p1.warm", "unknown key");
    refused(with("\"state\"", "\"status\""), ": vms[0].status", "unknown key");
    refused(with("\"announced\"", "\"published\""), ": key_owners[1].published", "unknown key");
}

// Guards against a value of another type that is converted instead of refused.
TEST(loader, refuses_wrong_types) {
    refused(with("\"floor_slots\": 7", "\"floor_slots\": \"7\""), ": services.print.floor_slots",
            "not a whole number");
    refused(with("\"hedge\": true", "\"hedge\": 1"), ": routes.proof.hedge", "not true or false");
    refused(with("[\"POST\"]", "\"POST\""), ": routes.charge.methods", "not a list of strings");
    refused(with("\"domain\": \"a\"", "\"domain\": 4"), ": services.print.targets.p1.domain",
            "not a string");
    refused(with("{\"requests_per_second\": 50}", "50"), ": workspaces.lennox", "not an object");
    refused("[]", "", "not an object");
}

// Guards against a number without unit that is read as milliseconds or seconds by chance.
TEST(loader, refuses_wrong_units) {
    refused(with("\"12m\"", "600"), ": rules.resend_window", "not a string with a unit");
    refused(with("\"12m\"", "\"10\""), ": rules.resend_window", "not a duration");
    refused(with("\"12m\"", "\"10 min\""), ": rules.resend_window", "not a duration");
    refused(with("\"12m\"", "\"-10m\""), ": rules.resend_window", "not a duration");
    refused(with("\"64KiB\"", "\"64K\""), ": routes.charge.max_body", "not a size");
    refused(with("2026-03-01T08:30:00Z", "2026-02-30T08:30:00Z"), ": published", "not a time");
    refused(with("2026-03-01T08:30:00Z", "2026-03-01 08:30"), ": published", "not a time");
}

// Guards against wrapped, truncated or negative numbers.
TEST(loader, refuses_numbers_out_of_range) {
    refused(with("\"slots\": 6", "\"slots\": -6"), ": services.print.targets.p1.slots", "-6");
    refused(with("\"slots\": 6", "\"slots\": 0"), ": services.print.targets.p1.slots", "range");
    refused(with("\"slots\": 6", "\"slots\": 4294967302"), ": services.print.targets.p1.slots",
            "range");
    refused(with("\"version\": 7", "\"version\": 18446744073709551623"), ": version", "range");
    refused(with("\"version\": 7", "\"version\": 7.5"), ": version", "range");
    refused(with("\"12m\"", "\"9223372036854775807h\""), ": rules.resend_window", "not a duration");
    refused(with("\"max_body\": 1000", "\"max_body\": -1"), ": routes.proof.max_body", "-1");
    refused(with("\"max_body\": 1000", "\"max_body\": 1e400"), "", "range");
}

// Guards against a document that names what it doesn't define, or defines one thing twice.
TEST(loader, refuses_contradictions_between_records) {
    refused(with("\"service\": \"print\"", "\"service\": \"prints\""), ": routes.charge.service",
            "no service \"prints\"");
    refused(with("\"floor_slots\": 7", "\"floor_slots\": 13"), ": services.print.floor_slots",
            "above the 12 slots");
    refused(with("192.0.2.3:8080", "192.0.2.1:8080"), ": services.stock.targets.s1.address",
            "also the address of services.print.targets.p1");
    refused(with("192.0.2.3:8080", "192.0.2.300:8080"), ": services.stock.targets.s1.address",
            "not a valid IP");
    refused(with("\"198.51.100.1:8080\", ", "\"198.51.100.2:8080\", "), ": key_owners[1].owners",
            "duplicate address");
    refused(with("\"192.0.2.1:8080\", \"domain\": \"a\", \"role\"",
                 "\"198.51.100.1:7000\", \"domain\": \"a\", \"role\""),
            ": vms: duplicate address 198.51.100.1:7000", "");
    refused(
        with("\"path_prefix\": \"/proof\"",
             "\"host\": \"shop.example\", \"methods\": [\"POST\"], \"path_prefix\": \"/charge\""),
        ": routes.proof", "same requests as routes.charge");
    refused(with("\"p1\": {", "\"p 1\": {"), ": services.print.targets.p 1", "valid name");
}

// Guards against routes that no request can match, or whose first limit never applies.
TEST(loader, refuses_routes_that_can_not_work) {
    refused(with("\"shop.example\"", "\"Shop.example\""), ": routes.charge.host", "lower-case");
    refused(with("\"/charge\"", "\"charge\""), ": routes.charge.path_prefix", "not a path");
    refused(with("\"/charge\"", "\"/charge?a\""), ": routes.charge.path_prefix", "not a path");
    refused(with("[\"POST\"]", "[\"post\"]"), ": routes.charge.methods", "upper case");
    refused(with("\"250ms\"", "\"31s\""), ": routes.charge.limits.first_byte", "above the total");
}

// Guards against rules under which a charge could run twice.
TEST(loader, refuses_unsafe_repeat_rules) {
    refused(with("\"repeat\": \"at_most_once\",", ""), ": routes.charge.repeat", "missing");
    refused(with("\"at_most_once\"", "\"once\""), ": routes.charge.repeat", "not a known value");
    refused(with("\"key\": \"optional\",", "\"hedge\": true,"), ": routes.charge.hedge", "twice");
    refused(with("\"at_most_once\"", "\"idempotent\""), ": routes.charge.key", "no effect");
    refused(with("2026-03-02T00:00:00Z", "2026-02-28T04:59:59Z"), ": key_owners[1].effective_from",
            "owner_lease");
    refused(with("2026-02-28T00:00:00Z", "2026-03-01T08:30:01Z"), ": key_owners[1].announced",
            "later than the publication");
    refused(with("2026-01-01T00:00:00Z", "2026-03-02T00:00:00Z"), ": key_owners[1].effective_from",
            "not later");
}

// Guards against syntax errors without a line, and against hostile nesting.
TEST(loader, names_the_line_of_a_syntax_error) {
    refused(with("\"rules\": {", "\"rules\" {"), ":4: not valid JSON", "");
    refused(with("\"max_body\": 1000", "\"max_body\": \"\xff\""), ":17: not valid JSON", "");
    refused(with("\"vms\": [", "\"vms\": [[[[[[[[[[[[[[[[[[["), ": vms.[]", "16 deep");
    refused(with("\"format\": 1", "\"format\": 2"), ": format", "not a format that this build");
}

// Guards against a path that can't be read being taken for an empty configuration.
TEST(loader, reports_unreadable_files) {
    const auto missing = config::load_file("test/config/absent.json");
    CHECK(!missing && missing.error().kind == error_kind::not_found);
    CHECK(!config::load_file("test/config"));
}

// Guards against rounding and offset mistakes in the conversion of units.
TEST(loader, converts_units) {
    CHECK(config::parse_duration("90m") == 5'400'000ms);
    CHECK(config::parse_size("10MiB") == 10'485'760U);
    CHECK(config::parse_size("10MB") == 10'000'000U);
    CHECK(config::parse_time("2026-03-01T16:30:00.25+08:00") ==
          *config::parse_time("2026-03-01T08:30:00.250Z"));
    CHECK(!config::parse_time("2026-03-01T24:00:00Z"));
    STRCMP_EQUAL("1970-01-01T00:00:00.000Z", config::format_time(wall_time{}).c_str());
}
