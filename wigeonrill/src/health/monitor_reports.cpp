#include "wigeonrill/src/health/monitor_state.h"

#include <algorithm>

namespace wigeonrill::health {

namespace {

// A report takes two datagrams of about 100 bytes each, so this rate stays below 8 KB/s per node
// with a margin.
constexpr double reports_per_second = 30.0;
constexpr double max_tokens = 15.0;

} // namespace

void monitor_state::send_reports(instant now, monitor_actions& actions) {
    const double elapsed = std::chrono::duration<double>(options.tick_period).count();
    report_tokens = std::min(max_tokens, report_tokens + elapsed * reports_per_second);
    std::vector<target_position> waiting;
    for (const auto& position : report_queue) {
        if (!at(position).pending.urgent) {
            waiting.push_back(position);
            continue;
        }
        send_report(position, now, actions);
    }
    report_queue.clear();
    for (const auto& position : waiting) {
        if (report_tokens >= 1.0) {
            send_report(position, now, actions);
        } else {
            report_queue.push_back(position);
        }
    }
}

void monitor_state::send_report(const target_position& position, instant now,
                                monitor_actions& actions) {
    auto& record = at(position);
    evidence_report report;
    report.reporter = options.self;
    report.reporter_domain = options.domain;
    report.service = services[position.service].name;
    report.target = record.id;
    report.llr_sum = record.pending.nats;
    report.answers = record.pending.answers;
    report.others_ratio =
        services[position.service].shared_cause.latest_ratio(position.target, now);
    report.sequence = next_sequence++;
    record.pending = {};
    // The lower bound keeps a burst of urgent reports from delaying the other reports for long.
    report_tokens = std::max(report_tokens - 1.0, -max_tokens);
    for (const auto& it : aggregators_of(record)) {
        if (it == options.self) {
            receive(report, position, now);
        } else {
            actions.reports.push_back({it, report});
        }
    }
}

const std::vector<node_id>& monitor_state::aggregators_of(target_record& record) {
    if (record.aggregators_generation != node_generation) {
        record.aggregators = nodes.aggregators(record.id);
        record.aggregators_generation = node_generation;
    }
    return record.aggregators;
}

aggregation_state& monitor_state::aggregation_of(const target_position& position) {
    auto& record = at(position);
    if (record.as_aggregator == nullptr) {
        record.as_aggregator = std::make_unique<aggregation_state>();
    }
    return *record.as_aggregator;
}

void monitor_state::receive(const evidence_report& report, const target_position& position,
                            instant now) {
    if (aggregation_of(position).pool.add(report, services[position.service].point, now)) {
        targets_to_judge.insert(position);
    }
}

} // namespace wigeonrill::health
