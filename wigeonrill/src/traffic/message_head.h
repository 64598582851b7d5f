#ifndef WIGEONRILL_TRAFFIC_MESSAGE_HEAD_H
#define WIGEONRILL_TRAFFIC_MESSAGE_HEAD_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

namespace wigeonrill::traffic::detail {

/// \brief Start line and header fields of a request or an answer.
///
/// Filled by the strict check. POCO's MessageHeader is not used for received heads: it decodes
/// RFC 2047 words, so that `=?utf-8?q?a=0D=0AX-Evil:1?=` becomes two header lines.
struct message_head {
    std::string method; ///< of a request
    std::string target; ///< of a request
    int status{0};      ///< of an answer
    std::string reason; ///< of an answer
    int minor_version{1};
    std::vector<std::pair<std::string, std::string>> fields;

    /// \returns the value of the first field of that name, or empty
    [[nodiscard]] std::string_view value(std::string_view name) const;
    [[nodiscard]] std::size_t count(std::string_view name) const;
    void add(std::string name, std::string value);
    /// \brief Removes every field of that name.
    void remove(std::string_view name);
    /// \brief Replaces every field of that name by one.
    void set(std::string name, std::string value);
    /// \returns true when the field is a list that has the token
    [[nodiscard]] bool has_token(std::string_view name, std::string_view token) const;

    /// \brief Removes the fields that concern one connection, and those that Connection names.
    void remove_hop_by_hop();
    /// \brief Appends this node to the Via field.
    void add_via(const std::string& name);
};

/// \returns true when the texts are equal but for the case of ASCII letters
[[nodiscard]] bool equal_ignoring_case(std::string_view left, std::string_view right);

/// \returns the request line and fields with the empty line
[[nodiscard]] std::string request_text(const message_head& head);
/// \returns the status line and fields with the empty line
[[nodiscard]] std::string answer_text(const message_head& head);

/// \brief Appends the body as one chunk of the chunked transfer coding.
void append_chunk(std::string& text, std::string_view body);

} // namespace wigeonrill::traffic::detail

#endif
