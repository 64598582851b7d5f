#include "wigeonrill/health.h"

#include <algorithm>

namespace wigeonrill::health {

namespace {

// Nodes that sent no report for this time are no longer reporters.
constexpr seconds reporter_lifetime{60};
// Number of reporters from which the contribution of each one is limited.
constexpr std::size_t min_reporters_for_limit = 3;
// Slowdowns of the other targets are averaged over reports of this age, if there are enough.
constexpr seconds others_sample_lifetime{2};
constexpr std::size_t min_others_samples = 3;
// Contribution in nats that the second reporter must reach; a single slow answer of a healthy
// target gives less.
constexpr double min_second_contribution = 2.0;

} // namespace

bool evidence_pool::add(const evidence_report& report, const operating_point& point, instant now) {
    drop_silent_reporters(now);
    auto& from = contributions_[report.reporter];
    if (report.sequence <= from.sequence) {
        return false;
    }
    from.sequence = report.sequence;
    from.domain = report.reporter_domain;
    from.seen = now;
    if (from.epoch != epoch_) {
        from.epoch = epoch_;
        from.nats = 0.0;
    }
    if (report.others_ratio > 0.0) {
        others_samples_[others_samples_added_++ % others_samples_kept] = {report.others_ratio, now};
    }
    double nats = report.llr_sum;
    if (contributions_.size() >= min_reporters_for_limit) {
        nats = std::min(nats, std::max(0.0, point.threshold / 2 - from.nats));
    }
    from.nats += nats;
    statistic_ += nats;
    answers_ += report.answers;
    if (statistic_ <= 0.0) {
        statistic_ = 0.0;
        ++epoch_;
    }
    return true;
}

void evidence_pool::reset() {
    statistic_ = 0.0;
    answers_ = 0;
    ++epoch_;
}

bool evidence_pool::is_sick(const operating_point& point, std::size_t live_domains,
                            std::size_t live_nodes) const {
    if (statistic_ < point.threshold) {
        return false;
    }
    if (!point.requires_two_domains || live_nodes < 2) {
        return true;
    }
    const contribution* first = nullptr;
    for (const auto& [node, it] : contributions_) {
        if (it.epoch != epoch_ || it.nats < min_second_contribution) {
            continue;
        }
        if (first != nullptr && (live_domains < 2 || first->domain != it.domain)) {
            return true;
        }
        first = first == nullptr ? &it : first;
    }
    return false;
}

double evidence_pool::others_ratio(instant now) const {
    double sum = 0.0;
    std::size_t count = 0;
    for (const auto& it : others_samples_) {
        if (it.ratio > 0.0 && now - it.at <= others_sample_lifetime) {
            sum += it.ratio;
            ++count;
        }
    }
    return count < min_others_samples ? 0.0 : sum / static_cast<double>(count);
}

void evidence_pool::halve(const operating_point& point) {
    statistic_ = std::min(statistic_, point.threshold / 2);
}

std::vector<node_id> evidence_pool::reporters() const {
    std::vector<node_id> names;
    names.reserve(contributions_.size());
    for (const auto& [node, it] : contributions_) {
        names.push_back(node);
    }
    std::sort(names.begin(), names.end());
    return names;
}

void evidence_pool::drop_silent_reporters(instant now) {
    if (now - last_pruned_ < reporter_lifetime) {
        return;
    }
    last_pruned_ = now;
    std::erase_if(contributions_,
                  [&](const auto& it) { return now - it.second.seen > reporter_lifetime; });
}

} // namespace wigeonrill::health
