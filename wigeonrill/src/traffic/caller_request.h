#ifndef WIGEONRILL_TRAFFIC_CALLER_REQUEST_H
#define WIGEONRILL_TRAFFIC_CALLER_REQUEST_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

#include "server_context.h"

namespace wigeonrill::traffic::detail {

/// \brief Bytes of its body that each request may hold in memory.
inline constexpr std::size_t own_body_bytes = 65'536;
/// \brief Largest request body that is buffered in memory, as long as the memory that all requests
/// share for large bodies has room. A buffered body has a digest, can be sent to another target,
/// and occupies no target while it arrives. Any other body is streamed and can be sent only once.
inline constexpr std::size_t max_buffered_body_bytes = 524'288;

/// \brief Header that marks a request as passed on by another node; see request_sender.
inline constexpr std::string_view from_node_field = "Wigeonrill-From-Node";
/// \brief Header with the numeric IP address of the caller, set by the forwarding node. An
/// idempotency key without a workspace belongs to the caller, so the node that owns the key needs
/// the address of the caller instead of that of the forwarding node.
inline constexpr std::string_view caller_field = "Wigeonrill-Caller";

/// \brief Request of a caller and the state of reading its body.
struct caller_request {
    message_head head;
    request_info info;
    std::string buffered_body;           ///< the part of the body that is in memory
    body_reservation large_body;         ///< memory of buffered_body beyond own_body_bytes
    std::optional<std::uint64_t> length; ///< value of Content-Length, if present
    bool chunked{false};                 ///< the body has the chunked transfer coding
    bool body_complete{false};           ///< the whole body has been read from the caller
    bool body_streamed{false};    ///< a part of the body has been read that is not in buffered_body
    bool expects_continue{false}; ///< the caller waits for a 100 answer before it sends the body
    bool keep_alive{false};       ///< the caller allows further requests on this connection
    /// Serial numbers of the connections to targets that it was sent on.
    std::vector<std::uint64_t> used_connections;
};

/// \brief Builds a request from a head that was parsed without a fault, and checks the header
/// fields that this node interprets.
/// \param parser parser that has read the head
/// \param caller numeric IP address of the caller
/// \returns the request, or the reason to refuse it
[[nodiscard]] tl::expected<caller_request, framing_fault>
make_caller_request(const message_parser& parser, const std::string& caller,
                    server_context& context);

} // namespace wigeonrill::traffic::detail

#endif
