#include "wigeonrill/replay.h"

#include <CppUTest/TestHarness.h>
#include <fstream>
#include <sstream>

using namespace wigeonrill;
using namespace wigeonrill::replay;

TEST_GROUP(trace_io){};

// Guards against the loss of events when a trace is written and read again.
TEST(trace_io, reads_back_a_written_trace) {
    const planned_fault fault{fault_kind::slow_10, 3, instant(seconds(2)), instant(seconds(3))};
    auto recorded = generate_trace(scotland(), seconds(4), {fault}, 7);
    recorded.pauses.push_back({2, instant(seconds(1)), instant(seconds(2))});
    recorded.leaving.push_back({5, instant(seconds(3))});
    std::stringstream first;
    write_trace(recorded, first);
    const auto read = read_trace(first);
    CHECK(read.has_value());
    std::stringstream second;
    write_trace(*read, second);
    STRCMP_EQUAL(first.str().c_str(), second.str().c_str());
    CHECK(recorded.answers.size() == read->answers.size());
    CHECK(recorded.pauses == read->pauses);
    CHECK(recorded.leaving == read->leaving);
    CHECK(recorded.faults == read->faults);
    CHECK(recorded.end == read->end);
}

// Guards against generated traces that differ between runs with the same seed.
TEST(trace_io, generates_the_same_trace_from_the_same_seed) {
    const auto generate_with_seed = [](std::uint64_t seed) {
        return generate_trace(scotland(), seconds(5), {}, seed);
    };
    CHECK(generate_with_seed(3).answers == generate_with_seed(3).answers);
    CHECK(!(generate_with_seed(3).answers == generate_with_seed(4).answers));
}

// Guards against errors without a line number, which are hard to find in traces edited by hand.
TEST(trace_io, reports_the_line_number_of_an_error) {
    for (const char* invalid_line :
         {"{\"type\":\"answer\"}", "{", "{\"type\":\"tide\"}",
          "{\"type\":\"pause\",\"node\":\"n9\",\"from_us\":0,\"until_us\":1}"}) {
        std::stringstream in(std::string("{\"type\":\"end\",\"at_us\":5}\n") + invalid_line);
        const auto read = read_trace(in);
        CHECK(!read.has_value());
        STRCMP_CONTAINS("line 2", read.error().message.c_str());
    }
}
