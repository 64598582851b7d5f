#include "wigeonrill/admission.h"

namespace wigeonrill::admission {

bool wait_queue::push(std::uint64_t request, instant arrived, instant deadline) {
    if (full() || arrivals_.contains(request)) {
        return false;
    }
    entries_.emplace(position{arrived, request}, deadline);
    arrivals_.emplace(request, arrived);
    return true;
}

void wait_queue::remove(std::uint64_t request) {
    if (const auto it = arrivals_.find(request); it != arrivals_.end()) {
        entries_.erase(position{it->second, request});
        arrivals_.erase(it);
    }
}

std::vector<std::uint64_t> wait_queue::expire(instant now) {
    std::vector<std::uint64_t> expired;
    for (auto it = entries_.begin(); it != entries_.end();) {
        if (now < it->second) {
            ++it;
            continue;
        }
        expired.push_back(it->first.second);
        arrivals_.erase(it->first.second);
        it = entries_.erase(it);
    }
    return expired;
}

std::vector<std::uint64_t> wait_queue::oldest(std::size_t count) const {
    std::vector<std::uint64_t> found;
    for (const auto& [key, deadline] : entries_) {
        if (found.size() >= count) {
            break;
        }
        found.push_back(key.second);
    }
    return found;
}

} // namespace wigeonrill::admission
