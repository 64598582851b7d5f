#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/abandoned_connections.h"

#include <cerrno>
#include <sys/socket.h>

namespace wigeonrill::traffic::detail {

namespace {

constexpr milliseconds check_period{50};
/// A machine that crashed is back after some seconds.
constexpr seconds longest_time{15};
/// About the requests of one node at the targets that are lost at once. The system sets the limit
/// on open files at 1,024 on many machines.
constexpr std::size_t max_connections = 128;

enum class peer_state : std::uint8_t { open, answers, ended, reset };

peer_state state_of(int fd) {
    char byte = 0;
    const auto n = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n >= 0) {
        return n > 0 ? peer_state::answers : peer_state::ended;
    }
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ? peer_state::open
                                                                     : peer_state::reset;
}

} // namespace

abandoned_connections::~abandoned_connections() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_one();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void abandoned_connections::add(abandoned_connection one) {
    const std::lock_guard lock(mutex_);
    if (stopping_ || size_ >= max_connections) {
        return;
    }
    ++size_;
    added_.push_back(std::move(one));
    if (!thread_.joinable()) {
        thread_ = std::thread([this] { run(); });
    }
    changed_.notify_one();
}

void abandoned_connections::run() {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const auto now = clock_->now();
        for (auto& it : added_) {
            entries_.push_back({std::move(it), now + longest_time});
        }
        added_.clear();
        lock.unlock();
        std::erase_if(entries_, [&](entry& it) { return !check(it, now); });
        lock.lock();
        size_ = entries_.size() + added_.size();
        const auto woken = [this] { return stopping_ || !added_.empty(); };
        if (entries_.empty()) {
            changed_.wait(lock, woken);
        } else {
            changed_.wait_for(lock, check_period, [this] { return stopping_; });
        }
    }
}

bool abandoned_connections::check(entry& it, instant now) {
    auto& silence = *it.one.check;
    const auto state = state_of(it.one.connection->fd());
    // A target that sees the end of the node's output closes the connection too, but doesn't reset
    // it when it has read the request.
    const bool is_lost =
        state == peer_state::reset || (state == peer_state::ended && !it.has_ended_output);
    if (is_lost && silence.found()) {
        decisions_->on_abandoned_connection_lost(it.one.request, it.one.target, *silence.found());
    }
    if (state != peer_state::open || now >= it.expires) {
        return false;
    }
    if (now >= silence.next_update()) {
        silence.update(now);
    }
    if (silence.seems_silent()) {
        return true;
    }
    // The target accepts connections again. Its system resets this one if it doesn't know it any
    // more; a process that still runs the request sees that it is cancelled.
    if (silence.found() && !it.has_ended_output) {
        it.has_ended_output = true;
        ::shutdown(it.one.connection->fd(), SHUT_WR);
    }
    return silence.found().has_value();
}

} // namespace wigeonrill::traffic::detail
