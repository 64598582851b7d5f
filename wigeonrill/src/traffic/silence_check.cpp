#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/silence_check.h"

#include <unistd.h>

namespace wigeonrill::traffic::detail {

namespace {

/// Time without a byte of the answer after which the first connection is tried, and least time
/// between connections that are accepted. A connection takes about 1 ms of the target, so this is
/// 0.2% of the time that the request occupies it.
constexpr milliseconds first_check{500};
/// Time after which a connection that isn't established counts as failed.
constexpr milliseconds connection_limit{250};
/// Failed connections in a row that count as silence. One may fail by a lost packet.
constexpr int failures_to_decide = 3;

} // namespace

silence_check::silence_check(endpoint address, instant since)
    : address_(std::move(address)), since_(since), next_(since + first_check) {}

silence_check::~silence_check() {
    close_connection();
}

instant silence_check::next_update() const {
    return fd_ >= 0 ? tried_ + connection_limit : next_;
}

void silence_check::update(instant now) {
    if (fd_ >= 0) {
        // The state comes before the time, since this process may have been paused.
        const auto state = connection_state(fd_);
        if (state == connecting::pending && now - tried_ < connection_limit) {
            return;
        }
        close_connection();
        if (state == connecting::established) {
            failures_ = 0;
            // With the doubled time, a long request costs few connections.
            next_ = now + std::max<nanoseconds>(now - since_, first_check);
        } else {
            on_failure(now);
        }
    }
    if (now >= next_) {
        try_connection(now);
    }
}

void silence_check::try_connection(instant now) {
    tried_ = now;
    fd_ = start_connecting(address_);
    if (fd_ < 0) {
        on_failure(now);
    }
}

void silence_check::on_failure(instant now) {
    if (failures_++ == 0) {
        first_failed_ = tried_;
    }
    if (failures_ >= failures_to_decide) {
        found_ = silence{first_failed_, tried_};
    }
    next_ = std::max(now, tried_ + connection_limit);
}

void silence_check::close_connection() {
    if (fd_ >= 0) {
        ::close(fd_);
        fd_ = -1;
    }
}

} // namespace wigeonrill::traffic::detail
