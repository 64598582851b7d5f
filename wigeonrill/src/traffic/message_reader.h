#ifndef WIGEONRILL_TRAFFIC_MESSAGE_READER_H
#define WIGEONRILL_TRAFFIC_MESSAGE_READER_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

#include "message_parser.h"
#include "socket_wait.h"

namespace wigeonrill::traffic::detail {

/// \brief Size of the buffers through which bodies are streamed.
inline constexpr std::size_t transfer_buffer_bytes = 16'384;

/// \brief Reads consecutive messages from one socket with a message_parser.
class message_reader {
public:
    /// \brief Result of a read.
    enum class status : std::uint8_t {
        ok,
        ended,         ///< the other side closed the connection before the first byte of a message
        truncated,     ///< the connection ended inside a message or failed
        faulty,        ///< the parser found a fault; see parser().fault()
        timed_out,     ///< the deadline passed
        watched_closed ///< the other side closed the watched connection
    };

    /// \param fd connected socket, not owned
    /// \param clock must outlive this object
    message_reader(int fd, const clock_source& clock) : fd_(fd), clock_(&clock) {}

    /// \brief Starts the next message with a new parser.
    void begin(std::unique_ptr<message_parser> parser);
    /// \brief Waits for the first byte of a message.
    /// \param watched another socket whose closing ends the wait, or no_socket
    [[nodiscard]] status wait_first_byte(instant deadline, int watched = no_socket);
    /// \brief Reads until the head is complete.
    [[nodiscard]] status read_head(instant deadline, int watched = no_socket);
    /// \brief Reads the next bytes of the decoded body.
    /// \param n receives the number of bytes; 0 with status ok means that the message is complete
    [[nodiscard]] status read_body(char* out, std::size_t capacity, std::size_t& n,
                                   instant deadline, int watched = no_socket);

    [[nodiscard]] const message_parser& parser() const { return *parser_; }
    /// \returns true when bytes after the current message have been received
    [[nodiscard]] bool has_unread_bytes() const { return first_ < last_; }

private:
    /// \brief Receives once and waits for input until the deadline.
    [[nodiscard]] status receive_more(instant deadline, int watched);
    /// \brief Makes the buffer have free space for the next receive.
    void ensure_buffer_space();

    int fd_;
    const clock_source* clock_;
    std::unique_ptr<message_parser> parser_;
    std::vector<char> buf_;
    std::size_t first_{0};                   ///< index of the first unread byte
    std::size_t last_{0};                    ///< index one past the last received byte
    bool last_receive_filled_buffer_{false}; ///< the last receive filled the buffer
};

} // namespace wigeonrill::traffic::detail

#endif
