#include "wigeonrill/observe.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::observe;

TEST_GROUP(log_line){};

// Guards against forged log lines: a line break in a path must not begin a new line.
TEST(log_line, escapes_control_characters) {
    log_line line("Request refused.");
    line.with("path", "/a\nroute: Request placed.");
    STRCMP_EQUAL("Request refused. path=\"/a\\x0aroute: Request placed.\"", line.text().c_str());
}

// Guards against values with spaces that a logfmt parser would split.
TEST(log_line, quotes_values_only_where_needed) {
    log_line line("Request placed.");
    line.with("target", "stock-3")
        .with("reason", "two choices")
        .with("waited_ms", nanoseconds(1'500'000));
    STRCMP_EQUAL("Request placed. target=stock-3 reason=\"two choices\" waited_ms=1.500",
                 line.text().c_str());
}
