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
    signal_read_fd_ = ends[0];
    signal_write_fd_ = ends[1];
}

connection_registry::~connection_registry() {
    close_waiting();
    ::close(signal_read_fd_);
}

std::size_t connection_registry::add(int fd) {
    const std::lock_guard lock(mutex_);
    open_fds_.insert(fd);
    return open_fds_.size();
}

void connection_registry::remove(int fd) {
    const std::lock_guard lock(mutex_);
    open_fds_.erase(fd);
    if (open_fds_.empty()) {
        all_closed_.notify_all();
    }
}

void connection_registry::close_waiting() {
    const std::lock_guard lock(mutex_);
    // Closing the write end of the pipe wakes every thread that polls the read end.
    if (signal_write_fd_ >= 0) {
        ::close(signal_write_fd_);
        signal_write_fd_ = -1;
    }
}

void connection_registry::abort_all() {
    close_waiting();
    const std::lock_guard lock(mutex_);
    for (const int fd : open_fds_) {
        ::shutdown(fd, SHUT_RDWR);
    }
}

bool connection_registry::wait_empty(instant deadline, const clock_source& clock) {
    constexpr milliseconds check_period{20};
    std::unique_lock lock(mutex_);
    while (!open_fds_.empty()) {
        if (clock.now() >= deadline) {
            return false;
        }
        all_closed_.wait_for(lock, check_period);
    }
    return true;
}

std::size_t connection_registry::size() const {
    const std::lock_guard lock(mutex_);
    return open_fds_.size();
}

} // namespace wigeonrill::traffic::detail
