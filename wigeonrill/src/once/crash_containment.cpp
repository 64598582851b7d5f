#include "wigeonrill/once.h"

#include <algorithm>

namespace wigeonrill::once {

namespace {

constexpr std::chrono::minutes mark_lifetime{10};
constexpr std::size_t marks_to_block = 2;
// The loss of a failure domain marks every request in flight in it. 124 requests/s x 36 nodes, over
// 1 s, stay below this bound.
constexpr std::size_t max_fingerprints = 8192;
// Per fingerprint. Further marks would not change the decision.
constexpr std::size_t max_marks = 8;

bool is_current(const crash_mark& mark, wall_time now) {
    return now - mark.observed < mark_lifetime;
}

} // namespace

void crash_containment::add(const crash_mark& mark, wall_time now) {
    auto clipped = mark;
    clipped.observed = std::min(mark.observed, now);
    if (!is_current(clipped, now) || has_succeeded_since(mark.fingerprint, clipped.observed)) {
        return;
    }
    if (!marks_.contains(mark.fingerprint)) {
        make_room(now);
    }
    auto& all = marks_[mark.fingerprint];
    std::erase_if(all, [&](const crash_mark& it) { return !is_current(it, now); });
    const auto known = std::ranges::find(all, mark.target, &crash_mark::target);
    if (known != all.end()) {
        known->observed = std::max(known->observed, clipped.observed);
    } else if (all.size() < max_marks) {
        all.push_back(std::move(clipped));
    }
}

void crash_containment::make_room(wall_time now) {
    if (marks_.size() < max_fingerprints) {
        return;
    }
    // The search visits every fingerprint, so it is limited to one per second.
    if (last_purge_ == wall_time::min() || now - last_purge_ > seconds(1)) {
        std::erase_if(marks_, [&](const auto& one) {
            return std::ranges::none_of(one.second,
                                        [&](const crash_mark& it) { return is_current(it, now); });
        });
        last_purge_ = now;
    }
    if (marks_.size() >= max_fingerprints) {
        marks_.erase(std::ranges::min_element(marks_, std::ranges::less{}, [](const auto& one) {
            return std::pair(one.second.size() >= marks_to_block, one.second.back().observed);
        }));
    }
}

void crash_containment::on_success(std::uint64_t fingerprint, wall_time now) {
    successes_[fingerprint % success_slots] = {fingerprint, now};
    marks_.erase(fingerprint);
}

bool crash_containment::has_succeeded_since(std::uint64_t fingerprint, wall_time when) const {
    const auto& last = successes_[fingerprint % success_slots];
    return last.fingerprint == fingerprint && last.when >= when;
}

bool crash_containment::is_blocked(std::uint64_t fingerprint, wall_time now) const {
    const auto it = marks_.find(fingerprint);
    return it != marks_.end() && std::ranges::count_if(it->second, [&](const crash_mark& mark) {
                                     return is_current(mark, now);
                                 }) >= static_cast<std::ptrdiff_t>(marks_to_block);
}

} // namespace wigeonrill::once
