#include "wigeonrill/health.h"

#include <algorithm>

namespace wigeonrill::health {

namespace {

constexpr seconds reporter_lifetime{60};
constexpr std::size_t reporters_for_limit = 3;
constexpr seconds remark_lifetime{2};
constexpr std::size_t remarks_needed = 3;
// Evidence that the second reporter must have given; a single slow healthy answer gives less.
constexpr double second_share = 2.0;

} // namespace

bool evidence_pool::add(const evidence_report& report, const operating_point& point, instant now) {
    forget_silent(now);
    auto& from = shares_[report.reporter];
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
        remarks_[remarks_added_++ % remarks_kept] = {report.others_ratio, now};
    }
    double nats = report.llr_sum;
    if (shares_.size() >= reporters_for_limit) {
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

bool evidence_pool::is_sick(const operating_point& point, std::size_t fleet_domains,
                            std::size_t fleet_nodes) const {
    if (statistic_ < point.threshold) {
        return false;
    }
    if (!point.two_domains || fleet_nodes < 2) {
        return true;
    }
    const share* first = nullptr;
    for (const auto& [node, it] : shares_) {
        if (it.epoch != epoch_ || it.nats < second_share) {
            continue;
        }
        if (first != nullptr && (fleet_domains < 2 || first->domain != it.domain)) {
            return true;
        }
        first = first == nullptr ? &it : first;
    }
    return false;
}

double evidence_pool::others_ratio(instant now) const {
    double sum = 0.0;
    std::size_t count = 0;
    for (const auto& it : remarks_) {
        if (it.ratio > 0.0 && now - it.at <= remark_lifetime) {
            sum += it.ratio;
            ++count;
        }
    }
    return count < remarks_needed ? 0.0 : sum / static_cast<double>(count);
}

void evidence_pool::halve(const operating_point& point) {
    statistic_ = std::min(statistic_, point.threshold / 2);
}

std::vector<node_id> evidence_pool::reporters() const {
    std::vector<node_id> names;
    names.reserve(shares_.size());
    for (const auto& [node, it] : shares_) {
        names.push_back(node);
    }
    std::sort(names.begin(), names.end());
    return names;
}

void evidence_pool::forget_silent(instant now) {
    if (now - pruned_ < reporter_lifetime) {
        return;
    }
    pruned_ = now;
    std::erase_if(shares_,
                  [&](const auto& it) { return now - it.second.seen > reporter_lifetime; });
}

} // namespace wigeonrill::health
