#ifndef WIGEONRILL_TRAFFIC_CALLER_REQUEST_H
#define WIGEONRILL_TRAFFIC_CALLER_REQUEST_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

#include "server_context.h"

namespace wigeonrill::traffic::detail {

/// \brief Bodies up to this size are held in memory, so that they have a digest and can be sent
/// again. Larger ones stream.
inline constexpr std::size_t held_body_bytes = 65'536;

/// \brief Marks a request that another node forwarded. Believed only from nodes of the fleet.
inline constexpr std::string_view from_node_field = "Wigeonrill-From-Node";
/// \brief Header with the numeric address of the caller, set by the node that forwards. Keys
/// without a workspace belong to a caller, so the owner must know the caller and not the node.
inline constexpr std::string_view caller_field = "Wigeonrill-Caller";

/// \brief One request of a caller with the state of its body.
struct caller_request {
    message_head head;
    request_info info;
    std::string held;                    ///< the body, as far as it is in memory
    std::optional<std::uint64_t> length; ///< Content-Length
    bool chunked{false};
    bool body_complete{false};      ///< the whole body was read from the caller
    bool body_streamed{false};      ///< a part of the body was read that is not held
    bool waits_for_continue{false}; ///< the caller waits for 100 before it sends the body
    bool keep_alive{false};         ///< the caller accepts another answer on this connection
};

/// \brief Builds the request from a head that passed the check.
/// \param caller numeric address of the caller
/// \returns the request, or the reason to refuse it
[[nodiscard]] tl::expected<caller_request, framing_fault>
make_caller_request(const framing_check& check, const std::string& caller, server_context& context);

} // namespace wigeonrill::traffic::detail

#endif
