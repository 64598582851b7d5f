#ifndef WIGEONRILL_TRAFFIC_MESSAGE_PARSER_H
#define WIGEONRILL_TRAFFIC_MESSAGE_PARSER_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

#include "message_head.h"

namespace wigeonrill::traffic::detail {

/// \brief Reason to reject a message.
struct framing_fault {
    int status{400};    ///< status code for a faulty request; a faulty answer always causes a 502
    std::string type;   ///< problem type, such as "bad-framing"
    std::string detail; ///< description of the fault for the caller
};

/// \brief Size limits of one message.
struct framing_limits {
    std::uint32_t head_bytes{16'384};
    std::optional<std::uint64_t> body_bytes; ///< not set: no limit
};

/// \brief Strict incremental parser of one HTTP/1 message. It finds the end of the message and
/// decodes its body.
///
/// All bodies are decoded by this class, so that no two parts of this program can disagree about
/// where a message ends. Such a disagreement would permit request smuggling.
class message_parser {
public:
    message_parser() = default;
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;
    virtual ~message_parser() = default;

    /// \brief Number of bytes consumed from the input and of body bytes written to the output.
    struct progress {
        std::size_t consumed{0};
        std::size_t produced{0};
    };

    /// \brief Parses input until the end of the head, the end of the message, a fault, the end of
    /// the input, or until the output is full.
    /// \param in received bytes that follow those consumed by earlier calls
    /// \param out where to write decoded body bytes
    /// \param capacity size of out
    [[nodiscard]] virtual progress feed(std::string_view in, char* out, std::size_t capacity) = 0;
    /// \brief Reports that the connection ended. Sets a fault unless the message may end there.
    virtual void end_of_stream() = 0;
    /// \returns true when the head has been parsed
    [[nodiscard]] virtual bool head_done() const = 0;
    /// \returns true when the whole message has been parsed
    [[nodiscard]] virtual bool done() const = 0;
    /// \returns true when the body has the chunked transfer coding
    [[nodiscard]] virtual bool chunked() const = 0;
    /// \returns the value of Content-Length, if present
    [[nodiscard]] virtual std::optional<std::uint64_t> content_length() const = 0;
    /// \returns true when the connection stays open after this message
    [[nodiscard]] virtual bool keep_alive() const = 0;

    /// \returns the head; complete once head_done() is true
    [[nodiscard]] const message_head& head() const { return head_; }
    /// \returns true when at least one byte has been consumed
    [[nodiscard]] bool started() const { return !raw_head_.empty(); }
    /// \returns the fault, if one was found
    [[nodiscard]] const std::optional<framing_fault>& fault() const { return fault_; }

protected:
    /// \brief Sets the fault unless there is one already.
    void set_fault(int status, std::string type, std::string text);
    [[nodiscard]] message_head& mutable_head() { return head_; }
    [[nodiscard]] std::size_t raw_head_bytes() const { return raw_head_.size(); }
    void append_to_head(std::string_view bytes) { raw_head_.append(bytes); }
    /// \brief Sets a fault if the head has a folded line. This needs the raw bytes of the head,
    /// because the underlying parser joins folded lines.
    void reject_folded_fields();

private:
    message_head head_;
    std::string raw_head_;
    std::optional<framing_fault> fault_;
};

/// \returns a parser for one request
[[nodiscard]] std::unique_ptr<message_parser> make_request_parser(const framing_limits& limits);

/// \param is_head_request true when the answer belongs to a HEAD request and therefore has no body
/// \returns a parser for one answer
[[nodiscard]] std::unique_ptr<message_parser> make_answer_parser(const framing_limits& limits,
                                                                 bool is_head_request);

} // namespace wigeonrill::traffic::detail

#endif
