#include "wigeonrill/config.h"

#include "sample_document.h"

#include <CppUTest/TestHarness.h>

#include <sstream>

using namespace wigeonrill;

namespace {

// Returns the keys that the reference page describes. Each one is the first cell of a table row, in
// backquotes.
std::set<std::string> keys_in_reference() {
    const auto page = config::read_file("docs/reference/configuration.md", 1'000'000);
    CHECK(page.has_value());
    std::set<std::string> keys;
    std::istringstream lines(*page);
    for (std::string line; std::getline(lines, line);) {
        const auto end = line.find("` |", 3);
        if (line.rfind("| `", 0) == 0 && end != std::string::npos) {
            keys.insert(line.substr(3, end - 3));
        }
    }
    return keys;
}

// Returns the expected keys that are not among the actual ones, each followed by a blank.
std::string keys_missing_from(const std::set<std::string>& expected_keys,
                              const std::set<std::string>& actual_keys) {
    std::string text;
    for (const auto& it : expected_keys) {
        text += actual_keys.contains(it) ? "" : it + " ";
    }
    return text;
}

} // namespace

TEST_GROUP(reference){};

// Guards against keys that the page does not describe, and against described keys that the parser
// does not know.
TEST(reference, describes_exactly_the_keys_that_the_parser_knows) {
    std::set<std::string> known;
    CHECK(config::parse_document(sample::document, "sample.json", &known).has_value());
    const auto described = keys_in_reference();
    STRCMP_EQUAL("", keys_missing_from(known, described).c_str());
    STRCMP_EQUAL("", keys_missing_from(described, known).c_str());
}

// Guards against a check that accepts a file which a node would reject, or that stops at the first
// invalid file.
TEST(reference, check_files_reports_each_file) {
    const auto all = config::check_files({"docs/absent.json", "docs/design.md",
                                          "examples/scotland/configuration.json",
                                          "test/config/floor_above_slots.json"});
    LONGS_EQUAL(4, all.size());
    CHECK(all[0].first_error && all[0].first_error->kind == error_kind::not_found);
    STRCMP_CONTAINS("docs/design.md:1: not valid JSON",
                    all[1].first_error.value_or(error{}).message.c_str());
    CHECK(!all[2].first_error);
    STRCMP_EQUAL("version 1: 3 services, 30 targets with 180 slots, 6 routes, 3 workspaces, "
                 "1 key owner set, 66 VMs, 7 shards",
                 all[2].summary.c_str());
    STRCMP_CONTAINS("floor_above_slots.json: services.print.floor_slots: 1 is above the 0 slots",
                    all[3].first_error.value_or(error{}).message.c_str());
}
