#include "wigeonrill/peers.h"

namespace wigeonrill::peers {

void count_batch::add(health::observation seen) {
    const auto it = std::ranges::find_if(waiting_, [&seen](const auto& one) {
        return one.target == seen.target && one.service == seen.service;
    });
    if (it == waiting_.end()) {
        waiting_.push_back(std::move(seen));
        return;
    }
    const bool good = it->kind == health::observation_kind::good;
    *it = std::move(seen);
    it->kind = good ? health::observation_kind::good : it->kind;
}

} // namespace wigeonrill::peers
