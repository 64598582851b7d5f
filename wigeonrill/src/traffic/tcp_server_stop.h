#ifndef WIGEONRILL_TRAFFIC_TCP_SERVER_STOP_H
#define WIGEONRILL_TRAFFIC_TCP_SERVER_STOP_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerParams.h>

namespace wigeonrill::traffic {

/// \brief Shortens the time for which the last idle thread of a server waits for a connection
/// before
///        it checks whether the server stops. POCO's default of 10 s delays the end of the process
///        as much.
void shorten_idle_time(Poco::Net::TCPServerParams& params);

/// \brief Wakes the accepting thread of a server that is about to be stopped. Without an event on
///        its socket, it checks only every 250 ms whether to stop.
void wake_acceptor(const Poco::Net::TCPServer& server);

} // namespace wigeonrill::traffic

#endif
