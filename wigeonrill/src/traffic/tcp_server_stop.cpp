#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/tcp_server_stop.h"

#include <Poco/Timespan.h>
#include <sys/socket.h>

namespace wigeonrill::traffic {

namespace {

constexpr milliseconds thread_idle_time{100};

} // namespace

void shorten_idle_time(Poco::Net::TCPServerParams& params) {
    params.setThreadIdleTime(Poco::Timespan(0, microseconds(thread_idle_time).count()));
}

void wake_acceptor(const Poco::Net::TCPServer& server) {
    ::shutdown(server.socket().impl()->sockfd(), SHUT_RD);
}

} // namespace wigeonrill::traffic
