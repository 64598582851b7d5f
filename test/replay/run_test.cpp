#include "wigeonrill/replay.h"

#include <CppUTest/TestHarness.h>
#include <fstream>

using namespace wigeonrill;
using namespace wigeonrill::replay;

namespace {

trace read_file(const std::string& name) {
    std::ifstream in("traces/" + name);
    auto read = read_trace(in);
    CHECK_TEXT(read.has_value(), name.c_str());
    return std::move(*read);
}

report replay_ours(const trace& recorded) {
    monitor_policy ours(milliseconds(50), milliseconds(1));
    return replay::run(recorded, ours);
}

} // namespace

TEST_GROUP(run){};

// Guards against a slow target that keeps its work: the committed trace has one that is ten times
// slower from 20 s to 26 s, and the bound is the aim of 1 s.
TEST(run, finds_the_slow_target_of_the_recorded_trace) {
    const auto result = replay_ours(read_file("slow-target.jsonl"));
    LONGS_EQUAL(1, result.detections.size());
    CHECK(result.detections[0].all.has_value());
    CHECK(*result.detections[0].all <= seconds(1));
    LONGS_EQUAL(0, result.false_ejections.size());
    for (const auto& it : result.capacity) {
        LONGS_EQUAL(0, it.broken);
    }
}

// Guards against ejecting healthy targets for a pause and a slow link of one node.
TEST(run, ejects_nobody_in_the_trace_of_a_troubled_node) {
    const auto result = replay_ours(read_file("troubled-node.jsonl"));
    LONGS_EQUAL(0, result.detections.size());
    LONGS_EQUAL(0, result.false_ejections.size());
}

// Guards against a replay whose figures differ between runs, and against baselines that see the
// fault labels: a slow target has no errors, so consecutive errors must miss it.
TEST(run, scores_policies_alike) {
    const auto recorded = read_file("slow-target.jsonl");
    consecutive_errors errors;
    const auto blind = replay::run(recorded, errors);
    CHECK(!blind.detections.at(0).first.has_value());
    const auto first = replay_ours(recorded);
    const auto second = replay_ours(recorded);
    CHECK(first.detections[0].all == second.detections[0].all);
    LONGS_EQUAL(first.answers, second.answers);
    CHECK(first.skipped > 0);
}
