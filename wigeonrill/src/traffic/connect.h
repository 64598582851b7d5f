#ifndef WIGEONRILL_TRAFFIC_CONNECT_H
#define WIGEONRILL_TRAFFIC_CONNECT_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

namespace wigeonrill::traffic {

/// \brief Opens a TCP connection and closes it again.
/// \param limit longest time until the connection must be established
/// \returns whether it was established
[[nodiscard]] bool accepts_connection(const endpoint& address, milliseconds limit);

namespace detail {

/// \brief Opens a TCP connection.
/// \returns its descriptor, or -1 on failure; the receiver closes it
[[nodiscard]] int connect(const endpoint& address, milliseconds limit);

} // namespace detail
} // namespace wigeonrill::traffic

#endif
