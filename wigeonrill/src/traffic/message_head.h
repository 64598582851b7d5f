#ifndef WIGEONRILL_TRAFFIC_MESSAGE_HEAD_H
#define WIGEONRILL_TRAFFIC_MESSAGE_HEAD_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

namespace wigeonrill::traffic::detail {

/// \brief Start line and header fields of a request or an answer.
///
/// Filled by message_parser. POCO's MessageHeader is not used for received heads: it decodes
/// RFC 2047 encoded words, so that `=?utf-8?q?a=0D=0AX-Evil:1?=` becomes two header lines.
struct message_head {
    std::string method;                                      ///< method; only in a request
    std::string target;                                      ///< request target; only in a request
    int status{0};                                           ///< status code; only in an answer
    std::string reason;                                      ///< reason phrase; only in an answer
    int minor_version{1};                                    ///< 0 for HTTP/1.0, 1 for HTTP/1.1
    std::vector<std::pair<std::string, std::string>> fields; ///< names and values as received

    /// \returns the value of the first field with the name, or an empty text
    [[nodiscard]] std::string_view value(std::string_view name) const;
    /// \returns the number of fields with the name
    [[nodiscard]] std::size_t count(std::string_view name) const;
    /// \brief Appends a field.
    void add(std::string name, std::string value);
    /// \brief Removes every field with the name.
    void remove(std::string_view name);
    /// \brief Replaces every field with the name by a single one.
    void set(std::string name, std::string value);
    /// \returns true when the comma-separated list in the field contains the token
    [[nodiscard]] bool has_token(std::string_view name, std::string_view token) const;

    /// \brief Removes the hop-by-hop fields and the fields that the Connection field names.
    void remove_hop_by_hop();
    /// \brief Appends this node to the Via field.
    void add_via(const std::string& name);
};

/// \returns the value of the first field with the name, or an empty text
[[nodiscard]] std::string_view
field_value(const std::vector<std::pair<std::string, std::string>>& fields, std::string_view name);

/// \returns true when the texts are equal apart from the case of ASCII letters
[[nodiscard]] bool equal_ignoring_case(std::string_view left, std::string_view right);

/// \returns the request line, the fields and the empty line that ends the head
[[nodiscard]] std::string serialize_request(const message_head& head);
/// \returns the status line, the fields and the empty line that ends the head
[[nodiscard]] std::string serialize_answer(const message_head& head);

/// \brief Appends the body as one chunk of the chunked transfer coding.
void append_chunk(std::string& text, std::string_view body);

} // namespace wigeonrill::traffic::detail

#endif
