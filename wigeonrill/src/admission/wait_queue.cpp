#include "wigeonrill/admission.h"

#include <algorithm>

namespace wigeonrill::admission {

bool wait_queue::push(std::uint64_t request, const urgency& how) {
    if (full() || !entries_.try_emplace(request, how).second) {
        return false;
    }
    lanes_[how.priority].timely.insert(timely_position(request, how));
    return true;
}

void wait_queue::remove(std::uint64_t request) {
    const auto it = entries_.find(request);
    if (it == entries_.end()) {
        return;
    }
    const auto one = lanes_.find(it->second.priority);
    one->second.timely.erase(timely_position(request, it->second));
    one->second.late.erase(late_position(request, it->second));
    if (one->second.size() == 0) {
        lanes_.erase(one);
    }
    entries_.erase(it);
}

void wait_queue::update(lane& one, instant now) {
    while (!one.timely.empty() && std::get<0>(*one.timely.begin()) <= now) {
        const auto request = std::get<2>(*one.timely.begin());
        one.timely.erase(one.timely.begin());
        one.late.insert(late_position(request, entries_.at(request)));
    }
}

std::vector<std::uint64_t> wait_queue::remove_hopeless(instant now) {
    std::vector<std::pair<instant, std::uint64_t>> found;
    for (auto& [priority, one] : lanes_) {
        update(one, now);
        for (const auto& [until, arrived, request] : one.late) {
            if (until > now) {
                break;
            }
            found.emplace_back(arrived, request);
        }
    }
    std::ranges::sort(found);
    std::vector<std::uint64_t> hopeless;
    for (const auto& [arrived, request] : found) {
        remove(request);
        hopeless.push_back(request);
    }
    return hopeless;
}

std::vector<std::uint64_t> wait_queue::in_order(instant now) {
    std::vector<std::uint64_t> found;
    found.reserve(entries_.size());
    for (auto& [priority, one] : lanes_) {
        update(one, now);
        for (const auto* part : {&one.timely, &one.late}) {
            for (const auto& it : *part) {
                found.push_back(std::get<2>(it));
            }
        }
    }
    return found;
}

std::vector<std::uint32_t> wait_queue::priorities() const {
    std::vector<std::uint32_t> found;
    for (const auto& [priority, one] : lanes_) {
        found.push_back(priority);
    }
    return found;
}

std::optional<std::uint64_t> wait_queue::first_of(std::uint32_t priority, instant now) {
    const auto it = lanes_.find(priority);
    if (it == lanes_.end()) {
        return std::nullopt;
    }
    update(it->second, now);
    const auto& part = it->second.timely.empty() ? it->second.late : it->second.timely;
    return std::get<2>(*part.begin());
}

std::optional<std::uint64_t> wait_queue::last_below(std::uint32_t priority, instant now) {
    if (lanes_.empty() || lanes_.rbegin()->first <= priority) {
        return std::nullopt;
    }
    auto& last = lanes_.rbegin()->second;
    update(last, now);
    const auto& part = last.late.empty() ? last.timely : last.late;
    return std::get<2>(*part.rbegin());
}

std::size_t wait_queue::ahead_of(const urgency& how, instant now) {
    const auto in_priority = ahead_in_priority(how, now);
    return how.priority == 0 ? in_priority : in_priority + size_up_to(how.priority - 1);
}

std::size_t wait_queue::ahead_in_priority(const urgency& how, instant now) {
    const auto it = lanes_.find(how.priority);
    if (it == lanes_.end()) {
        return 0;
    }
    update(it->second, now);
    const bool is_timely = how.timely_until() > now;
    const auto& part = is_timely ? it->second.timely : it->second.late;
    const auto place = is_timely ? timely_position(0, how) : late_position(0, how);
    const auto before = std::distance(part.begin(), part.lower_bound(place));
    return static_cast<std::size_t>(before) + (is_timely ? 0 : it->second.timely.size());
}

std::size_t wait_queue::size_up_to(std::uint32_t priority) const {
    std::size_t n = 0;
    for (const auto& [one, requests] : lanes_) {
        n += one <= priority ? requests.size() : 0;
    }
    return n;
}

std::vector<std::uint64_t> wait_queue::late_ones(instant now) {
    std::vector<std::uint64_t> found;
    for (auto& [priority, one] : lanes_) {
        update(one, now);
        for (const auto& it : one.late) {
            found.push_back(std::get<2>(it));
        }
    }
    return found;
}

} // namespace wigeonrill::admission
