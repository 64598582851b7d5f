#include "wigeonrill/peers.h"

namespace wigeonrill::peers {

namespace {

// Covers 2 s of reports to 2 aggregators for each of 124 answers/s. A linear search of a full queue
// takes about 10 us.
constexpr std::size_t max_waiting = 512;
constexpr std::size_t room = max_datagram_bytes - header_size_bound;

} // namespace

bool evidence_queue::push(const node_id& aggregator, const health::evidence_report& report) {
    for (auto& it : waiting_) {
        if (it.report.target == report.target && it.report.service == report.service &&
            it.aggregator == aggregator) {
            it.report.llr_sum += report.llr_sum;
            it.report.answers += report.answers;
            it.report.others_ratio = report.others_ratio;
            it.report.sequence = report.sequence;
            return true;
        }
    }
    const bool full = waiting_.size() >= max_waiting;
    if (full) {
        waiting_.pop_front();
    }
    waiting_.push_back({aggregator, report});
    return !full;
}

std::optional<std::pair<node_id, std::vector<health::evidence_report>>> evidence_queue::pop() {
    if (waiting_.empty()) {
        return std::nullopt;
    }
    const auto aggregator = waiting_.front().aggregator;
    std::vector<health::evidence_report> reports;
    std::size_t used = 0;
    std::erase_if(waiting_, [&](const entry& it) {
        const auto size = size_bound(it.report);
        if (it.aggregator != aggregator || (used + size > room && !reports.empty())) {
            return false;
        }
        used += size;
        reports.push_back(it.report);
        return true;
    });
    return std::pair{aggregator, std::move(reports)};
}

} // namespace wigeonrill::peers
