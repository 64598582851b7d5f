#include "wigeonrill/tool.h"

#include "commands.h"
#include "wigeonrill/replay.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>

namespace wigeonrill::tool {

namespace {

// The tick period of the control thread of a daemon, and the delay of messages between nodes that
// the replay simulates.
constexpr milliseconds tick_period{50};
constexpr milliseconds message_delay{1};

std::string format_seconds(const std::optional<nanoseconds>& duration) {
    if (!duration) {
        return "never";
    }
    std::array<char, 32> buf{};
    const auto n = std::snprintf(buf.data(), buf.size(), "%.2f",
                                 std::chrono::duration<double>(*duration).count());
    return {buf.data(), static_cast<std::size_t>(n)};
}

std::vector<std::unique_ptr<replay::policy>> make_policies() {
    std::vector<std::unique_ptr<replay::policy>> all;
    all.push_back(std::make_unique<replay::monitor_policy>(tick_period, message_delay));
    all.push_back(std::make_unique<replay::consecutive_errors>());
    all.push_back(std::make_unique<replay::fixed_latency>());
    return all;
}

std::uint64_t count_broken_ticks(const replay::report& report) {
    std::uint64_t broken = 0;
    for (const auto& it : report.capacity) {
        broken += it.floor_violations;
    }
    return broken;
}

nlohmann::ordered_json to_json(const replay::report& report) {
    nlohmann::ordered_json it;
    it["policy"] = report.policy;
    it["answers"] = report.answers;
    it["false_ejections"] = report.false_ejections.size();
    it["floor_broken_ticks"] = count_broken_ticks(report);
    it["detections"] = nlohmann::ordered_json::array();
    for (const auto& detection : report.detections) {
        it["detections"].push_back({{"fault", detection.fault},
                                    {"target", detection.target},
                                    {"first_s", format_seconds(detection.first_detected_after)},
                                    {"all_s", format_seconds(detection.all_detected_after)},
                                    {"work_after", detection.work_after}});
    }
    return it;
}

void add_rows(text_table& table, const replay::report& report) {
    const auto false_ejections = std::to_string(report.false_ejections.size());
    const auto broken = std::to_string(count_broken_ticks(report));
    if (report.detections.empty()) {
        table.add_row({report.policy, "-", "-", "-", "-", false_ejections, broken});
    }
    for (const auto& it : report.detections) {
        table.add_row({report.policy, it.fault, std::to_string(it.target),
                       format_seconds(it.first_detected_after),
                       format_seconds(it.all_detected_after), false_ejections, broken});
    }
}

} // namespace

exit_code replay_trace(const std::string& path, bool json) {
    std::ifstream file(path);
    if (!file) {
        std::cerr << "wigeonrill: can't read " << path << "; check the path\n";
        return exit_code::negative_result;
    }
    const auto recorded = replay::read_trace(file);
    if (!recorded) {
        std::cerr << "wigeonrill: " << path << ": " << to_string(recorded.error()) << '\n';
        return exit_code::negative_result;
    }
    text_table table(
        {"policy", "fault", "target", "first_s", "all_s", "false_ejections", "floor_broken_ticks"});
    auto reports = nlohmann::ordered_json::array();
    for (const auto& candidate : make_policies()) {
        const auto report = replay::run(*recorded, *candidate);
        add_rows(table, report);
        reports.push_back(to_json(report));
    }
    std::cout << (json ? reports.dump(2) + "\n" : table.text());
    return exit_code::success;
}

} // namespace wigeonrill::tool
