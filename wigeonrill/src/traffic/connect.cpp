#include "wigeonrill/traffic.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <fcntl.h>
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

} // namespace wigeonrill::traffic
