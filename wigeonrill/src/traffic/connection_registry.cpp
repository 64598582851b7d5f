#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/connection_registry.h"

#include <array>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wigeonrill::traffic::detail {

connection_registry::connection_registry() {
    std::array<int, 2> ends{};
    const int status = ::pipe2(ends.data(), O_CLOEXEC);
    WIGEONRILL_ASSERT(status == 0, "the process must have free file descriptors");
    signal_out_ = ends[0];
    signal_in_ = ends[1];
}

connection_registry::~connection_registry() {
    close_waiting();
    ::close(signal_out_);
}

std::size_t connection_registry::add(int fd) {
    const std::lock_guard lock(mutex_);
    live_.insert(fd);
    return live_.size();
}

void connection_registry::remove(int fd) {
    const std::lock_guard lock(mutex_);
    live_.erase(fd);
    if (live_.empty()) {
        empty_.notify_all();
    }
}

void connection_registry::close_waiting() {
    const std::lock_guard lock(mutex_);
    // Closing one end of a pipe wakes every thread that polls the other.
    if (signal_in_ >= 0) {
        ::close(signal_in_);
        signal_in_ = -1;
    }
}

void connection_registry::abort_all() {
    close_waiting();
    const std::lock_guard lock(mutex_);
    for (const int fd : live_) {
        ::shutdown(fd, SHUT_RDWR);
    }
}

bool connection_registry::wait_empty(instant deadline, const clock_source& clock) {
    constexpr milliseconds check_period{20};
    std::unique_lock lock(mutex_);
    while (!live_.empty()) {
        if (clock.now() >= deadline) {
            return false;
        }
        empty_.wait_for(lock, check_period);
    }
    return true;
}

std::size_t connection_registry::size() const {
    const std::lock_guard lock(mutex_);
    return live_.size();
}

} // namespace wigeonrill::traffic::detail
