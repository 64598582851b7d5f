#include "wigeonrill/tool.h"

#include "wigeonrill/src/tool/commands.h"
#include "wigeonrill/src/tool/log_record.h"
#include "wigeonrill/src/tool/trace_collector.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using tool::exit_code;

namespace {

constexpr const char* placed =
    "2026-09-06T10:29:15.345000+00:00 info route: Request placed. request=111 id=8cd3 route=r "
    "service=s target=i-1 attempt=1 reason=\"retry after silent\"";

tool::log_record parse(const std::string& line) {
    const auto record = tool::parse_log_line(line);
    CHECK(record.has_value());
    return record.value_or(tool::log_record{});
}

// Returns a line whose time is the given number of seconds after 10:29:15.
tool::log_record at_second(int s, const std::string& text) {
    auto record = parse(placed);
    record.when += seconds(s);
    record.text = text;
    return record;
}

} // namespace

TEST_GROUP(log_record){};

// Guards against a line of a log collector that isn't understood because of what it wrote before.
TEST(log_record, reads_time_level_and_fields_after_any_prefix) {
    const auto record = parse("  27.34 front-a-2 " + std::string(placed));
    STRCMP_EQUAL("27.34 front-a-2", record.origin.c_str());
    STRCMP_EQUAL("info", record.level.c_str());
    STRCMP_EQUAL("8cd3", record.field("id").value_or("").c_str());
    STRCMP_EQUAL("retry after silent", record.field("reason").value_or("").c_str());
    CHECK_FALSE(record.field("i").has_value());
    STRCMP_EQUAL("2026-09-06T10:29:15.345000Z", tool::format_log_time(record.when).c_str());
    const auto elsewhere = parse("2026-09-06T12:29:15.345000+02:00 info route: x");
    CHECK(elsewhere.when == record.when);
}

// Guards against damaged and cut lines that end the reading or are taken for others.
TEST(log_record, refuses_damaged_lines) {
    const std::string whole = placed;
    for (std::size_t n = 0; n < 35; ++n) {
        CHECK_FALSE(tool::parse_log_line(whole.substr(0, n)).has_value());
    }
    CHECK_FALSE(tool::parse_log_line(whole.substr(1)).has_value());
    CHECK_FALSE(tool::parse_log_line("2026-19-46T10:29:15.345000+00:00 info x").has_value());
    CHECK_FALSE(tool::parse_log_line(std::string(100, '\xff')).has_value());
}

TEST_GROUP(trace_collector) {
    tool::trace_collector it{"8cd3"};

    void add(const std::string& node, const std::vector<tool::log_record>& records) {
        for (const auto& record : records) {
            it.find_request(node, record);
        }
        for (const auto& record : records) {
            it.find_context(node, record);
        }
    }
    std::string texts() const {
        std::string all;
        for (const auto& line : it.lines()) {
            all += line.node + " " + line.record.text + (line.is_context ? " (context)\n" : "\n");
        }
        return all;
    }
};

// Guards against leaving out what explains a failure, and against lines of other requests, targets
// and nodes.
TEST(trace_collector, selects_the_request_and_what_its_node_learned) {
    add("a", {at_second(-11, "health: target i-1 is sick"),
              at_second(-2, "health: Target observed. target=i-1 kind=late"),
              at_second(-2, "health: Target observed. target=i-11 kind=late"),
              at_second(-1, "config: Configuration offered. version=4 result=accepted"),
              at_second(0, "route: Request placed. id=8cd3 target=i-1"),
              at_second(0, "route: Request placed. id=8cd34 target=i-1"),
              at_second(1, "config: Configuration offered. version=5 result=accepted"),
              at_second(2, "traffic: request 1 id=8cd3: attempt ended silent")});
    add("b", {at_second(0, "health: Target observed. target=i-1 kind=late")});
    STRCMP_EQUAL("a health: Target observed. target=i-1 kind=late (context)\n"
                 "a route: Request placed. id=8cd3 target=i-1\n"
                 "a config: Configuration offered. version=5 result=accepted (context)\n"
                 "a traffic: request 1 id=8cd3: attempt ended silent\n",
                 texts().c_str());
}

// Guards against an id that occurs on several nodes and is shown for one of them only.
TEST(trace_collector, shows_all_nodes_in_the_order_of_time) {
    add("b", {at_second(3, "route: Request refused. id=8cd3 refusal=shed")});
    add("a", {at_second(1, "route: Request placed. id=8cd3 target=i-1")});
    STRCMP_EQUAL("a route: Request placed. id=8cd3 target=i-1\n"
                 "b route: Request refused. id=8cd3 refusal=shed\n",
                 texts().c_str());
}

TEST_GROUP(trace_command){};

// Guards against a success code for an id or a log that isn't there.
TEST(trace_command, reports_missing_files_and_ids) {
    CHECK(tool::trace_request("8cd3", {"/nonexistent/log"}, true) == exit_code::negative_result);
    CHECK(tool::trace_request("absent", {"test/tool/trace_test.cpp"}, true) ==
          exit_code::negative_result);
}
