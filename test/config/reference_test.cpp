#include "wigeonrill/config.h"

#include "sample_document.h"

#include <CppUTest/TestHarness.h>

#include <sstream>

using namespace wigeonrill;

namespace {

// Returns the keys that the reference describes: the first cell of each table row, in backquotes.
std::set<std::string> described_keys() {
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

std::string difference(const std::set<std::string>& left, const std::set<std::string>& right) {
    std::string text;
    for (const auto& it : left) {
        text += right.contains(it) ? "" : it + " ";
    }
    return text;
}

} // namespace

TEST_GROUP(reference){};

// Guards against keys that the page lacks, and against keys on the page that the parser refuses.
TEST(reference, describes_exactly_the_keys_that_the_parser_knows) {
    std::set<std::string> known;
    CHECK(config::parse_document(sample::document, "sample.json", &known).has_value());
    const auto described = described_keys();
    STRCMP_EQUAL("", difference(known, described).c_str());
    STRCMP_EQUAL("", difference(described, known).c_str());
}

// Guards against a check that passes what a node refuses, or that stops at the first bad file.
TEST(reference, check_reports_each_file) {
    const auto all = config::check_files({"docs/absent.json", "docs/design.md",
                                          "examples/scotland/configuration.json",
                                          "test/config/floor_above_slots.json"});
    LONGS_EQUAL(4, all.size());
    CHECK(all[0].fault && all[0].fault->kind == error_kind::not_found);
    STRCMP_CONTAINS("docs/design.md:1: not valid JSON",
                    all[1].fault.value_or(error{}).message.c_str());
    CHECK(!all[2].fault);
    STRCMP_EQUAL("version 1: 3 services, 30 targets with 180 slots, 6 routes, 3 workspaces, "
                 "1 key owner set, 66 VMs, 7 shards",
                 all[2].summary.c_str());
    STRCMP_CONTAINS("floor_above_slots.json: services.print.floor_slots: 1 is above the 0 slots",
                    all[3].fault.value_or(error{}).message.c_str());
}
