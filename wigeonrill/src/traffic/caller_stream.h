#ifndef WIGEONRILL_TRAFFIC_CALLER_STREAM_H
#define WIGEONRILL_TRAFFIC_CALLER_STREAM_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

#include "caller_request.h"

namespace wigeonrill::traffic::detail {

/// \brief Reads request bodies from the connection of one caller and writes answers to it.
class caller_stream final : public caller_watch {
public:
    caller_stream(int fd, server_context& context)
        : fd_(fd), context_(&context), reader_(fd, *context.clock) {}

    [[nodiscard]] int fd() const { return fd_; }
    [[nodiscard]] bool has_left() const override;
    [[nodiscard]] message_reader& reader() { return reader_; }

    /// \brief Reads a body that is small enough into memory, and sets the size, the digest and
    /// body_replayable in the info of the request. A body with a Content-Length for which there is
    /// no memory is not read.
    /// \returns the reason to refuse the request, if there is one
    [[nodiscard]] std::optional<framing_fault> buffer_body(caller_request& request);
    /// \brief Sends a 100 answer once if the caller waits for it. To be called before the first
    ///        wait for a body.
    void invite_body(caller_request& request);
    /// \brief Reads the next part of a streamed body.
    /// \param out where to write the bytes
    /// \param capacity size of out
    /// \param n receives the number of bytes; 0 when the body is complete
    /// \param until end of the time for it, beside body_read_deadline()
    /// \returns the reason to refuse the request, if there is one
    [[nodiscard]] std::optional<framing_fault> read_body_piece(caller_request& request, char* out,
                                                               std::size_t capacity, std::size_t& n,
                                                               instant until);

    /// \returns the time by which the next bytes of the body must arrive
    [[nodiscard]] instant body_read_deadline(const caller_request& request) const;

    /// \brief Sends bytes of an answer.
    /// \returns false when the caller closed the connection or a limit was reached
    bool send(std::string_view bytes, const send_limits& limits);
    /// \brief Sends a refusal as problem details.
    /// \param request the refused request, or null if it was refused while its head was read
    /// \param keep_alive false to announce that the connection will be closed
    /// \returns false when not everything could be sent
    bool send_refusal(const refusal& reason, const caller_request* request, bool keep_alive);
    /// \brief Sends an answer that was stored for an idempotency key.
    /// \returns false when not everything could be sent
    bool send_stored(const stored_answer& answer, const caller_request& request, bool keep_alive);
    /// \brief Sends an interim answer (status 1xx).
    /// \param until end of the time for it
    /// \returns false when not everything could be sent; then nothing else may be sent
    [[nodiscard]] bool send_interim(const message_head& head, instant until);
    /// \brief Makes closing the socket reset the connection, so that the caller notices that its
    /// answer is incomplete.
    void abort();
    /// \brief Closes the sending direction and discards input for up to 1 s. Closing a socket with
    /// unread input would reset the connection, and the caller could lose the last answer.
    void shutdown_output() const;

private:
    /// \returns the reason to refuse the request after a read with this status; nothing for ok
    [[nodiscard]] std::optional<framing_fault>
    to_framing_fault(message_reader::status status) const;
    /// \returns the number of bytes of a body that may be read into memory; 0: it is to be streamed
    [[nodiscard]] std::size_t room_for_body(caller_request& request);
    /// \returns how many more bytes of a body of unknown length may be read into memory
    [[nodiscard]] std::size_t more_room_for_body(caller_request& request);

    int fd_;
    server_context* context_;
    message_reader reader_;
    bool aborted_{false}; ///< abort() was called
};

/// \brief Adds the Connection field that tells the caller whether the connection stays open.
/// \param request the answered request, or null if it was refused while its head was read
void add_connection_field(message_head& head, const caller_request* request, bool keep_alive);

} // namespace wigeonrill::traffic::detail

#endif
