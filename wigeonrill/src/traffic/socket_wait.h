#ifndef WIGEONRILL_TRAFFIC_SOCKET_WAIT_H
#define WIGEONRILL_TRAFFIC_SOCKET_WAIT_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

namespace wigeonrill::traffic::detail {

/// \brief Result of a wait or a transfer on a socket.
enum class io_status : std::uint8_t {
    ok,
    ended,         ///< the other side closed its sending direction
    failed,        ///< the connection failed
    timed_out,     ///< the time limit passed, or no input was available at once
    interrupted,   ///< input arrived on the other connection that was waited for
    watched_closed ///< the other side closed the watched connection
};

/// \brief Value of a descriptor parameter that means no socket.
inline constexpr int no_socket = -1;

/// \brief Waits until a socket has input.
/// \param watched another socket whose closing by its other side ends the wait, or no_socket
[[nodiscard]] io_status wait_readable(int fd, instant deadline, const clock_source& clock,
                                      int watched = no_socket);

/// \brief Waits until a socket has input, unless another one has input or an end first.
/// \returns interrupted when the other socket has input, was closed by its other side or failed
[[nodiscard]] io_status wait_readable_unless(int fd, int other, instant deadline,
                                             const clock_source& clock);

/// \brief Receives the available bytes without waiting. The result is timed_out if there are none.
/// \param n receives the number of bytes, at least 1 when the result is ok
[[nodiscard]] io_status receive_some(int fd, char* out, std::size_t capacity, std::size_t& n);

/// \brief How long sending may take.
struct send_limits {
    milliseconds idle;             ///< longest time without progress
    instant until{instant::max()}; ///< end of the time, whatever the progress
};

/// \brief Sends all bytes.
/// \param sent receives the number of bytes written
[[nodiscard]] io_status send_all(int fd, std::string_view bytes, const send_limits& limits,
                                 const clock_source& clock, std::size_t& sent);

/// \brief Sends all bytes, but stops if the socket has input or the watched socket is closed by its
/// other side while the output is blocked.
[[nodiscard]] io_status send_watching(int fd, std::string_view bytes, const send_limits& limits,
                                      const clock_source& clock, std::size_t& sent, int watched);

/// \returns true when the connection is open, without input and without an error
[[nodiscard]] bool is_open_without_input(int fd);

/// \returns true when the other side has closed its sending direction and all input was read
[[nodiscard]] bool closed_by_peer(int fd);

/// \returns true when the socket has bytes to read
[[nodiscard]] bool has_input(int fd);

} // namespace wigeonrill::traffic::detail

#endif
