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

report replay_with_monitors(const trace& recorded) {
    monitor_policy monitors(milliseconds(50), milliseconds(1));
    return replay::run(recorded, monitors);
}

} // namespace

TEST_GROUP(run){};

// Guards against a slow target that keeps receiving requests. In the committed trace one target is
// ten times slower from 20 s to 26 s. All nodes must detect it within the design goal of 1 s.
TEST(run, detects_the_slow_target_on_all_nodes_within_one_second) {
    const auto result = replay_with_monitors(read_file("slow-target.jsonl"));
    LONGS_EQUAL(1, result.detections.size());
    CHECK(result.detections[0].all_detected_after.has_value());
    CHECK(*result.detections[0].all_detected_after <= seconds(1));
    LONGS_EQUAL(0, result.false_ejections.size());
    for (const auto& it : result.capacity) {
        LONGS_EQUAL(0, it.floor_violations);
    }
}

// Guards against the ejection of healthy targets because one node was suspended or has a slow link.
TEST(run, ejects_no_target_when_nodes_pause_or_have_slow_links) {
    const auto result = replay_with_monitors(read_file("troubled-node.jsonl"));
    LONGS_EQUAL(0, result.detections.size());
    LONGS_EQUAL(0, result.false_ejections.size());
}

// Guards against replays whose results differ between runs, and against baselines that use the
// fault labels: the slow target returns no errors, so the baseline consecutive_errors must not
// detect it.
TEST(run, is_deterministic_and_hides_labels_from_policies) {
    const auto recorded = read_file("slow-target.jsonl");
    consecutive_errors errors;
    const auto errors_report = replay::run(recorded, errors);
    CHECK(!errors_report.detections.at(0).first_detected_after.has_value());
    const auto first = replay_with_monitors(recorded);
    const auto second = replay_with_monitors(recorded);
    CHECK(first.detections[0].all_detected_after == second.detections[0].all_detected_after);
    LONGS_EQUAL(first.answers, second.answers);
    CHECK(first.skipped > 0);
}
