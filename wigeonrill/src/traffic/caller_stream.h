#ifndef WIGEONRILL_TRAFFIC_CALLER_STREAM_H
#define WIGEONRILL_TRAFFIC_CALLER_STREAM_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

#include "caller_request.h"

namespace wigeonrill::traffic::detail {

/// \brief Connection of one caller: reads bodies and writes answers.
class caller_stream {
public:
    caller_stream(int fd, server_context& context)
        : fd_(fd), context_(&context), reader_(fd, *context.clock) {}

    [[nodiscard]] int fd() const { return fd_; }
    [[nodiscard]] message_reader& reader() { return reader_; }

    /// \brief Reads the body into memory as far as it may be held, and sets the body's data in
    /// the request's info.
    /// \returns the reason to refuse the request, if there is one
    [[nodiscard]] std::optional<framing_fault> hold_body(caller_request& request);
    /// \brief Reads the next piece of a body that streams.
    /// \param n receives its size; 0: the body is complete
    /// \returns the reason to refuse the request, if there is one
    [[nodiscard]] std::optional<framing_fault> read_piece(caller_request& request, char* out,
                                                          std::size_t room, std::size_t& n);

    /// \brief Sends bytes of an answer.
    /// \returns false when the caller left or stopped reading
    bool send(std::string_view bytes, milliseconds idle);
    /// \brief Sends a refusal.
    /// \param keep_alive false: announces that the connection will be closed
    bool send_refusal(const refusal& reason, const caller_request* request, bool keep_alive);
    /// \brief Sends an answer from memory.
    bool send_stored(const stored_answer& answer, const caller_request& request, bool keep_alive);
    /// \brief Sends an interim answer (1xx).
    bool send_interim(const message_head& head);
    /// \brief Makes the caller see that its answer broke off: the close will reset the connection.
    void abort();
    /// \brief Ends the output and discards input for a moment, so that the caller can read the
    /// last answer before the close resets the connection.
    void end_output() const;

private:
    [[nodiscard]] std::optional<framing_fault> fault_of(message_reader::status status) const;
    [[nodiscard]] instant piece_deadline(const caller_request& request) const;
    void send_continue(caller_request& request);

    int fd_;
    server_context* context_;
    message_reader reader_;
    bool aborted_{false};
};

/// \brief Adds the Connection field that the caller needs.
void add_connection_field(message_head& head, const caller_request* request, bool keep_alive);

} // namespace wigeonrill::traffic::detail

#endif
