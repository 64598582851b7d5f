#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/target_pool.h"

#include <algorithm>
#include <unistd.h>

namespace wigeonrill::traffic::detail {

namespace {

/// Connections that were idle for longer are closed. A middlebox may have dropped their state
/// without notice.
constexpr milliseconds max_idle_time{5'000};

/// Further idle connections are closed, so that a target does not keep all connections of a burst.
constexpr std::size_t max_idle_per_address = 64;

} // namespace

std::uint64_t target_connection::next_serial() {
    static std::atomic<std::uint64_t> last{0};
    return ++last;
}

target_connection::~target_connection() {
    ::close(fd_);
}

connection_ptr target_pool::take(const endpoint& address, milliseconds max_idle) {
    idle_list closing; // destroyed after the lock is released
    for (;;) {
        connection_ptr candidate;
        {
            const std::lock_guard lock(mutex_);
            collect_unusable(closing);
            const auto it = idle_.find(address);
            if (it == idle_.end() || it->second.empty() ||
                clock_->now() - it->second.back()->last_used() > max_idle) {
                return nullptr;
            }
            candidate = std::move(it->second.back());
            it->second.pop_back();
        }
        // Input on an idle connection is its end or an unexpected answer.
        if (is_open_without_input(candidate->fd())) {
            return candidate;
        }
    }
}

void target_pool::put(const endpoint& address, connection_ptr connection) {
    connection->mark_used(clock_->now());
    idle_list closing;
    const std::lock_guard lock(mutex_);
    collect_unusable(closing);
    auto& list = idle_[address];
    if (list.size() < max_idle_per_address) {
        list.push_back(std::move(connection));
    }
}

void target_pool::close_idle(const endpoint& address) {
    idle_list closing;
    const std::lock_guard lock(mutex_);
    const auto it = idle_.find(address);
    if (it != idle_.end()) {
        closing.swap(it->second);
        idle_.erase(it);
    }
}

void target_pool::close_unusable() {
    idle_list closing;
    const std::lock_guard lock(mutex_);
    collect_unusable(closing);
}

void target_pool::collect_unusable(idle_list& unusable) {
    const auto now = clock_->now();
    if (now < next_sweep_) {
        return;
    }
    next_sweep_ = now + seconds{1};
    for (auto it = idle_.begin(); it != idle_.end();) {
        auto& list = it->second;
        const auto usable = [&](const connection_ptr& one) {
            return now - one->last_used() <= max_idle_time && is_open_without_input(one->fd());
        };
        const auto rest = std::stable_partition(list.begin(), list.end(), usable);
        std::move(rest, list.end(), std::back_inserter(unusable));
        list.erase(rest, list.end());
        it = list.empty() ? idle_.erase(it) : std::next(it);
    }
}

connection_ptr target_pool::connect(const endpoint& address, milliseconds limit) const {
    const int fd = detail::connect(address, limit);
    return fd < 0 ? nullptr : std::make_unique<target_connection>(fd, *clock_);
}

} // namespace wigeonrill::traffic::detail
