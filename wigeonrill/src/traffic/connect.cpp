#include "wigeonrill/traffic.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wigeonrill::traffic {

bool accepts_connection(const endpoint& address, milliseconds limit) {
    const int fd = detail::connect(address, limit);
    if (fd >= 0) {
        ::close(fd);
    }
    return fd >= 0;
}

int detail::connect(const endpoint& address, milliseconds limit) {
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(address.ip, address.port),
                       Poco::Timespan(std::chrono::microseconds(limit).count()));
        socket.setNoDelay(true);
        // The Poco socket closes its descriptor when it is destroyed; the duplicate stays open.
        return ::fcntl(socket.impl()->sockfd(), F_DUPFD_CLOEXEC, 0);
    } catch (const Poco::Exception&) {
        return -1;
    }
}

int detail::start_connecting(const endpoint& address) {
    try {
        Poco::Net::StreamSocket socket;
        socket.connectNB(Poco::Net::SocketAddress(address.ip, address.port));
        return ::fcntl(socket.impl()->sockfd(), F_DUPFD_CLOEXEC, 0);
    } catch (const Poco::Exception&) {
        return -1;
    }
}

detail::connecting detail::connection_state(int fd) {
    pollfd it{fd, POLLOUT, 0};
    if (::poll(&it, 1, 0) == 0) {
        return connecting::pending;
    }
    int error = 0;
    socklen_t size = sizeof error;
    const bool known = ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0;
    return known && error == 0 ? connecting::established : connecting::failed;
}

} // namespace wigeonrill::traffic
