#include "wigeonrill/src/health/monitor_state.h"

#include <algorithm>

namespace wigeonrill::health {

namespace {

// Two datagrams of about 100 bytes each leave a margin below 8 KB/s per node.
constexpr double reports_per_second = 30.0;
constexpr double most_tokens = 15.0;

} // namespace

void monitor_state::send_reports(instant now, monitor_actions& actions) {
    const double elapsed = std::chrono::duration<double>(options.tick_period).count();
    report_tokens = std::min(most_tokens, report_tokens + elapsed * reports_per_second);
    std::vector<target_place> waiting;
    for (const auto& place : pending) {
        if (!at(place).pending.urgent) {
            waiting.push_back(place);
            continue;
        }
        send_report(place, now, actions);
    }
    pending.clear();
    for (const auto& place : waiting) {
        if (report_tokens >= 1.0) {
            send_report(place, now, actions);
        } else {
            pending.push_back(place);
        }
    }
}

void monitor_state::send_report(const target_place& place, instant now, monitor_actions& actions) {
    auto& record = at(place);
    evidence_report report;
    report.reporter = options.self;
    report.reporter_domain = options.domain;
    report.service = services[place.service].name;
    report.target = record.id;
    report.llr_sum = record.pending.nats;
    report.answers = record.pending.answers;
    report.others_ratio = services[place.service].shared.latest(place.target, now);
    report.sequence = next_sequence++;
    record.pending = {};
    // The debt is bounded, so that a burst of urgent reports does not silence the others for long.
    report_tokens = std::max(report_tokens - 1.0, -most_tokens);
    for (const auto& it : aggregators_of(record)) {
        if (it == options.self) {
            receive(report, place, now);
        } else {
            actions.reports.push_back({it, report});
        }
    }
}

const std::vector<node_id>& monitor_state::aggregators_of(target_record& record) {
    if (record.aggregators_of != node_generation) {
        record.aggregators = nodes.aggregators(record.id);
        record.aggregators_of = node_generation;
    }
    return record.aggregators;
}

judgement& monitor_state::judgement_of(const target_place& place) {
    auto& record = at(place);
    if (record.judged == nullptr) {
        record.judged = std::make_unique<judgement>();
    }
    return *record.judged;
}

void monitor_state::receive(const evidence_report& report, const target_place& place, instant now) {
    if (judgement_of(place).pool.add(report, services[place.service].point, now)) {
        judging.insert(place);
    }
}

} // namespace wigeonrill::health
