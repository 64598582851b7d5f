#ifndef WIGEONRILL_TRAFFIC_REQUEST_TARGET_H
#define WIGEONRILL_TRAFFIC_REQUEST_TARGET_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

#include "framing_check.h"

namespace wigeonrill::traffic::detail {

/// \brief What a request asks for.
struct request_target {
    std::string host; ///< lower case, without the port
    std::string path;
    std::string query; ///< without the question mark
};

/// \brief Splits the request target and checks it against the Host field.
/// \returns the parts, or the reason to refuse the request
[[nodiscard]] tl::expected<request_target, framing_fault>
read_request_target(const message_head& head);

/// \returns true when the path climbs above its root, with "." and "/" percent-encoded or not
[[nodiscard]] bool climbs_above_root(std::string_view encoded);

} // namespace wigeonrill::traffic::detail

#endif
