#include "wigeonrill/health.h"

#include <algorithm>
#include <set>

namespace wigeonrill::health {

namespace {

// Number of failed targets, without a success in between, from which on the node may be cut off,
// and from which on it is.
constexpr std::size_t targets_to_suspect = 3;
constexpr std::size_t targets_to_decide = 6;
// All targets of one service may be down at once.
constexpr std::size_t services_to_decide = 2;
// Older failures don't count, since a node that uses kept connections seldom opens one.
constexpr seconds failure_lifetime{5};

bool is_recent(instant when, instant now) {
    return now - when <= failure_lifetime;
}

} // namespace

void target_reachability::set_size(std::size_t services, std::size_t targets) {
    services_ = services;
    targets_ = targets;
    if (targets == 0) {
        failures_.clear();
        cut_off_ = false;
    }
}

void target_reachability::on_connection(const service_name& service, const target_id& target,
                                        bool connected, instant now) {
    if (connected) {
        failures_.clear();
        cut_off_ = false;
        return;
    }
    std::erase_if(failures_, [&](const auto& it) { return !is_recent(it.second.when, now); });
    failures_.insert_or_assign(target, failure{service, now});
    cut_off_ = cut_off_ || (failed_targets(now) >= std::min(targets_to_decide, targets_) &&
                            failed_services(now) >= std::min(services_to_decide, services_));
}

bool target_reachability::needs_checks(instant now) const {
    return cut_off_ ||
           (!failures_.empty() && failed_targets(now) >= std::min(targets_to_suspect, targets_));
}

std::size_t target_reachability::failed_targets(instant now) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        failures_, [&](const auto& it) { return is_recent(it.second.when, now); }));
}

std::size_t target_reachability::failed_services(instant now) const {
    std::set<service_name> found;
    for (const auto& [target, it] : failures_) {
        if (is_recent(it.when, now)) {
            found.insert(it.service);
        }
    }
    return found.size();
}

} // namespace wigeonrill::health
