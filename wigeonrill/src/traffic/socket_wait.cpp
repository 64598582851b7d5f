#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/socket_wait.h"

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>

namespace wigeonrill::traffic::detail {

namespace {

/// Returns the timeout for poll(2) in milliseconds, at most 60 s. It is rounded up so that poll(2)
/// does not return shortly before the deadline.
int poll_timeout(instant deadline, instant now) {
    if (deadline <= now) {
        return 0;
    }
    constexpr milliseconds max_poll_time{60'000};
    const auto left = std::chrono::ceil<milliseconds>(deadline - now);
    return static_cast<int>(std::min(left, max_poll_time).count());
}

/// Events of poll(2) that mean that the other side closed the connection or that it failed.
constexpr short closed_events = POLLRDHUP | POLLHUP | POLLERR | POLLNVAL;

io_status wait_writable(int fd, instant deadline, const clock_source& clock) {
    pollfd it{fd, POLLOUT, 0};
    ::poll(&it, 1, poll_timeout(deadline, clock.now()));
    return it.revents == 0 && clock.now() >= deadline ? io_status::timed_out : io_status::ok;
}

io_status wait_writable_watching(int fd, instant deadline, const clock_source& clock, int watched) {
    std::array<pollfd, 2> fds{{{fd, POLLOUT | POLLIN, 0}, {watched, POLLRDHUP, 0}}};
    ::poll(fds.data(), fds.size(), poll_timeout(deadline, clock.now()));
    if ((fds[0].revents & POLLIN) != 0) {
        return io_status::interrupted;
    }
    if ((fds[1].revents & closed_events) != 0) {
        return io_status::watched_closed;
    }
    return fds[0].revents == 0 && clock.now() >= deadline ? io_status::timed_out : io_status::ok;
}

/// Sends all bytes and calls `wait` with a deadline whenever the output is blocked.
template <typename Wait>
io_status send_until(int fd, std::string_view bytes, const send_limits& limits,
                     const clock_source& clock, std::size_t& sent, Wait wait) {
    sent = 0;
    auto now = clock.now();
    auto idle_until = now + limits.idle;
    while (sent < bytes.size()) {
        if (now >= limits.until) {
            return io_status::timed_out;
        }
        const auto n =
            ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n > 0) {
            sent += static_cast<std::size_t>(n);
            now = clock.now();
            idle_until = now + limits.idle;
            continue;
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
            return io_status::failed;
        }
        const auto result = wait(std::min(idle_until, limits.until));
        if (result != io_status::ok) {
            return result;
        }
        now = clock.now();
    }
    return io_status::ok;
}

} // namespace

io_status wait_readable(int fd, instant deadline, const clock_source& clock, int watched) {
    for (;;) {
        const auto now = clock.now();
        // poll(2) ignores entries with a negative descriptor.
        std::array<pollfd, 2> fds{{{fd, POLLIN, 0}, {watched, POLLRDHUP, 0}}};
        const int n = ::poll(fds.data(), fds.size(), poll_timeout(deadline, now));
        if (n < 0 && errno != EINTR) {
            return io_status::failed;
        }
        if (n > 0 && fds[0].revents != 0) {
            return io_status::ok;
        }
        if (n > 0 && (fds[1].revents & closed_events) != 0) {
            return io_status::watched_closed;
        }
        if (clock.now() >= deadline) {
            return io_status::timed_out;
        }
    }
}

io_status wait_readable_unless(int fd, int other, instant deadline, const clock_source& clock) {
    for (;;) {
        std::array<pollfd, 2> fds{{{fd, POLLIN, 0}, {other, POLLIN, 0}}};
        const int n = ::poll(fds.data(), fds.size(), poll_timeout(deadline, clock.now()));
        if (n < 0 && errno != EINTR) {
            return io_status::failed;
        }
        if (n > 0) {
            return fds[1].revents != 0 ? io_status::interrupted : io_status::ok;
        }
        if (clock.now() >= deadline) {
            return io_status::timed_out;
        }
    }
}

io_status receive_some(int fd, char* out, std::size_t capacity, std::size_t& n) {
    for (;;) {
        const auto got = ::recv(fd, out, capacity, MSG_DONTWAIT);
        n = got > 0 ? static_cast<std::size_t>(got) : 0;
        if (got > 0) {
            return io_status::ok;
        }
        if (got == 0) {
            return io_status::ended;
        }
        if (errno == EAGAIN || errno == EWOULDBLOCK) {
            return io_status::timed_out;
        }
        if (errno != EINTR) {
            return io_status::failed;
        }
    }
}

io_status send_all(int fd, std::string_view bytes, const send_limits& limits,
                   const clock_source& clock, std::size_t& sent) {
    return send_until(fd, bytes, limits, clock, sent,
                      [&](instant deadline) { return wait_writable(fd, deadline, clock); });
}

io_status send_watching(int fd, std::string_view bytes, const send_limits& limits,
                        const clock_source& clock, std::size_t& sent, int watched) {
    return send_until(fd, bytes, limits, clock, sent, [&](instant deadline) {
        return wait_writable_watching(fd, deadline, clock, watched);
    });
}

bool is_open_without_input(int fd) {
    char byte = 0;
    const auto n = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool closed_by_peer(int fd) {
    char byte = 0;
    return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

bool has_input(int fd) {
    char byte = 0;
    return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

} // namespace wigeonrill::traffic::detail
