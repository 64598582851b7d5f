#ifndef WIGEONRILL_TRAFFIC_SOCKET_WAIT_H
#define WIGEONRILL_TRAFFIC_SOCKET_WAIT_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

namespace wigeonrill::traffic::detail {

/// \brief How a wait or a transfer on a socket ended.
enum class io_status : std::uint8_t {
    ok,
    ended,       ///< the other side closed its direction
    failed,      ///< the connection broke
    timed_out,   ///< the limit passed
    interrupted, ///< input arrived while output was to be written
    watched_left ///< the watched connection was closed by its other side
};

/// \brief File descriptor that stands for none.
inline constexpr int no_socket = -1;

/// \brief Waits until a socket has input.
/// \param watched socket whose closing ends the wait, or no_socket
[[nodiscard]] io_status wait_readable(int fd, instant deadline, const clock_source& clock,
                                      int watched = no_socket);

/// \brief Receives what is there without waiting for more.
/// \param n receives the number of bytes, at least 1 when the result is ok
[[nodiscard]] io_status receive_some(int fd, char* out, std::size_t room, std::size_t& n);

/// \brief Sends all bytes.
/// \param idle longest time without progress
/// \param sent receives the number of bytes written
[[nodiscard]] io_status send_all(int fd, std::string_view bytes, milliseconds idle,
                                 const clock_source& clock, std::size_t& sent);

/// \brief Sends all bytes, but stops when the socket has input or the watched one was closed while
/// the output is blocked.
[[nodiscard]] io_status send_watching(int fd, std::string_view bytes, milliseconds idle,
                                      const clock_source& clock, std::size_t& sent, int watched);

/// \returns true when the socket has neither input nor an end nor an error
[[nodiscard]] bool is_quiet(int fd);

/// \returns true when the other side has closed its direction and everything before was read
[[nodiscard]] bool has_ended(int fd);

/// \returns true when the socket has bytes to read
[[nodiscard]] bool has_input(int fd);

} // namespace wigeonrill::traffic::detail

#endif
