#ifndef WIGEONRILL_TRAFFIC_FRAMING_CHECK_H
#define WIGEONRILL_TRAFFIC_FRAMING_CHECK_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

#include "message_head.h"

namespace wigeonrill::traffic::detail {

/// \brief Why a message was refused.
struct framing_fault {
    int status{400};    ///< for a request; an answer's fault is always a 502
    std::string type;   ///< problem type, such as "bad-framing"
    std::string detail; ///< what is wrong with the message
};

/// \brief Bounds on one message.
struct framing_limits {
    std::uint32_t head_bytes{16'384};
    std::optional<std::uint64_t> body_bytes; ///< nothing: unlimited
};

/// \brief Strict reader of one HTTP/1 message: finds its end and decodes its body.
///
/// It is the only decoder of bodies, so no second reader can disagree about where a message ends.
class framing_check {
public:
    framing_check() = default;
    framing_check(const framing_check&) = delete;
    framing_check& operator=(const framing_check&) = delete;
    virtual ~framing_check() = default;

    /// \brief Bytes taken from the input and body bytes written to the output.
    struct progress {
        std::size_t consumed{0};
        std::size_t produced{0};
    };

    /// \brief Reads on; stops behind the head, behind the message, at a fault, when the output is
    /// full, or when more input is needed.
    /// \param in unread bytes of the connection, beginning where the last call stopped
    /// \param out where to write decoded body bytes
    /// \param room size of out
    [[nodiscard]] virtual progress feed(std::string_view in, char* out, std::size_t room) = 0;
    /// \brief States that the connection ended; a fault unless the message ends there.
    virtual void end_of_stream() = 0;
    /// \returns true when the head was read
    [[nodiscard]] virtual bool head_done() const = 0;
    /// \returns true when the whole message was read
    [[nodiscard]] virtual bool done() const = 0;
    /// \returns true when the body is sent in chunks
    [[nodiscard]] virtual bool chunked() const = 0;
    /// \returns the Content-Length, if there is one
    [[nodiscard]] virtual std::optional<std::uint64_t> content_length() const = 0;
    /// \returns true when the connection can carry another message after this one
    [[nodiscard]] virtual bool keep_alive() const = 0;

    /// \returns the head, once it was read
    [[nodiscard]] const message_head& head() const { return head_; }
    /// \returns true when at least one byte was read
    [[nodiscard]] bool started() const { return !raw_head_.empty(); }
    /// \returns the fault, if one was found
    [[nodiscard]] const std::optional<framing_fault>& fault() const { return fault_; }

protected:
    void set_fault(int status, std::string type, std::string text);
    [[nodiscard]] message_head& mutable_head() { return head_; }
    [[nodiscard]] std::size_t raw_head_bytes() const { return raw_head_.size(); }
    void append_to_head(std::string_view bytes) { raw_head_.append(bytes); }
    /// \brief Finds faults of the head that need its raw bytes.
    void check_raw_head();

private:
    message_head head_;
    std::string raw_head_;
    std::optional<framing_fault> fault_;
};

/// \returns a reader of one request
[[nodiscard]] std::unique_ptr<framing_check> make_request_check(const framing_limits& limits);

/// \param to_head true when the answer belongs to a HEAD request and so has no body
/// \returns a reader of one answer
[[nodiscard]] std::unique_ptr<framing_check> make_answer_check(const framing_limits& limits,
                                                               bool to_head);

} // namespace wigeonrill::traffic::detail

#endif
