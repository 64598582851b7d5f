#include "wigeonrill/admission.h"

#include <cmath>

namespace wigeonrill::admission {

namespace {

// Tallies with fewer requests are dropped.
constexpr double least_count = 0.01;

} // namespace

served_shares::tally served_shares::at(const tally& it, instant now) {
    const std::chrono::duration<double> age(now - it.updated);
    const double factor = std::exp2(-age / std::chrono::duration<double>(half_life));
    return {it.served * factor, it.ended * factor, now};
}

double served_shares::share(const tally& it) {
    return (it.served + 1.0) / (it.ended + 1.0);
}

served_shares::tally served_shares::tally_of(std::uint32_t priority, instant now) const {
    const auto it = tallies_.find(priority);
    return it == tallies_.end() ? tally{} : at(it->second, now);
}

void served_shares::add(std::uint32_t priority, double served, instant now) {
    std::erase_if(tallies_,
                  [&](const auto& one) { return at(one.second, now).ended < least_count; });
    auto& it = tallies_[priority];
    it = at(it, now);
    it.served += served;
    it.ended += 1.0;
}

bool served_shares::may_yield(std::uint32_t priority, instant now) const {
    tally all;
    for (const auto& [one, counted] : tallies_) {
        const auto it = at(counted, now);
        all.served += it.served;
        all.ended += it.ended;
    }
    return share(tally_of(priority, now)) >= least_relative_share * share(all);
}

bool served_shares::may_pass(std::uint32_t less_urgent, std::uint32_t more_urgent,
                             instant now) const {
    return share(tally_of(less_urgent, now)) <= share(tally_of(more_urgent, now));
}

} // namespace wigeonrill::admission
