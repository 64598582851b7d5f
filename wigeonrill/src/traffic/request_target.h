#ifndef WIGEONRILL_TRAFFIC_REQUEST_TARGET_H
#define WIGEONRILL_TRAFFIC_REQUEST_TARGET_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

#include "message_parser.h"

namespace wigeonrill::traffic::detail {

/// \brief Host, path and query of a request.
struct request_target {
    std::string host;  ///< lower case, without the port
    std::string path;  ///< percent-encoding as received
    std::string query; ///< without the question mark
};

/// \brief Parses the request target and checks that it agrees with the Host field.
/// \returns the parts, or the reason to refuse the request
[[nodiscard]] tl::expected<request_target, framing_fault>
parse_request_target(const message_head& head);

/// \returns true when ".." segments lead above the root of the path, also when "." and "/" are
/// percent-encoded
[[nodiscard]] bool escapes_root(std::string_view encoded);

} // namespace wigeonrill::traffic::detail

#endif
