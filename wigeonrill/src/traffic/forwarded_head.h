#ifndef WIGEONRILL_TRAFFIC_FORWARDED_HEAD_H
#define WIGEONRILL_TRAFFIC_FORWARDED_HEAD_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

#include "caller_request.h"

namespace wigeonrill::traffic::detail {

/// \brief Builds the head of a request as it is sent to a target or node.
/// \param plan step that sends or forwards the request
/// \param time_left time until the request's deadline; a negative one is sent as 0
[[nodiscard]] std::string make_forwarded_head(const caller_request& request, const step& plan,
                                              const server_options& options,
                                              milliseconds time_left);

} // namespace wigeonrill::traffic::detail

#endif
