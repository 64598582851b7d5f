#include "wigeonrill/admission.h"

#include <cmath>

namespace wigeonrill::admission {

namespace {

// Tallies below this value are dropped.
constexpr double least_count = 0.01;

} // namespace

double queue_load::at(const tally& it, instant now) {
    const std::chrono::duration<double> age(now - it.updated);
    return it.count * std::exp2(-age / std::chrono::duration<double>(half_life));
}

void queue_load::add(tally& it, instant now) {
    it = {at(it, now) + 1.0, now};
}

void queue_load::on_request(std::uint32_t priority, instant now) {
    std::erase_if(requests_, [&](const auto& one) { return at(one.second, now) < least_count; });
    add(requests_[priority], now);
}

void queue_load::on_place(instant now) {
    add(places_, now);
}

double queue_load::ratio(std::uint64_t end, instant now) const {
    const auto places = at(places_, now);
    if (places < least_count) {
        return 0.0;
    }
    double requests = 0.0;
    for (const auto& [priority, it] : requests_) {
        requests += priority < end ? at(it, now) : 0.0;
    }
    return requests / places;
}

} // namespace wigeonrill::admission
