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

/// \brief State of a connection that is being opened.
enum class connecting : std::uint8_t { pending, established, failed };
/// \brief Starts to open a TCP connection and doesn't wait for it.
/// \returns its descriptor, or -1 on failure; the receiver closes it
[[nodiscard]] int start_connecting(const endpoint& address);
/// \returns the state of a connection from start_connecting()
[[nodiscard]] connecting connection_state(int fd);

} // namespace detail
} // namespace wigeonrill::traffic

#endif
