#ifndef WIGEONRILL_TRAFFIC_MESSAGE_READER_H
#define WIGEONRILL_TRAFFIC_MESSAGE_READER_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

#include "framing_check.h"
#include "socket_wait.h"

namespace wigeonrill::traffic::detail {

/// \brief Size of the pieces in which bodies are passed on.
inline constexpr std::size_t piece_bytes = 16'384;

/// \brief Reads consecutive messages from one socket through the strict check.
class message_reader {
public:
    /// \brief How reading went.
    enum class status : std::uint8_t {
        ok,
        ended,       ///< the connection ended before the first byte of a message
        cut,         ///< the connection ended inside a message
        faulty,      ///< the check found a fault; see check().fault()
        timed_out,   ///< the limit passed
        watched_left ///< the watched connection was closed
    };

    message_reader(int fd, const clock_source& clock) : fd_(fd), clock_(&clock) {}

    /// \brief Starts the next message.
    void begin(std::unique_ptr<framing_check> check);
    /// \brief Waits for the first byte of a message.
    [[nodiscard]] status wait_first_byte(instant deadline, int watched = no_socket);
    /// \brief Reads the head.
    [[nodiscard]] status read_head(instant deadline, int watched = no_socket);
    /// \brief Reads the next bytes of the body.
    /// \param n receives their number; 0 with ok: the message is complete
    [[nodiscard]] status read_body(char* out, std::size_t room, std::size_t& n, instant deadline,
                                   int watched = no_socket);

    [[nodiscard]] const framing_check& check() const { return *check_; }
    /// \returns true when bytes behind the current message were received
    [[nodiscard]] bool has_surplus() const { return first_ < last_; }

private:
    /// \brief Receives once, waiting until the deadline.
    [[nodiscard]] status fill(instant deadline, int watched);
    void make_room();

    int fd_;
    const clock_source* clock_;
    std::unique_ptr<framing_check> check_;
    std::vector<char> buf_;
    std::size_t first_{0};       ///< index of the first unread byte
    std::size_t last_{0};        ///< index behind the last received byte
    bool more_is_likely_{false}; ///< the last receive filled the buffer
};

} // namespace wigeonrill::traffic::detail

#endif
