#ifndef WIGEONRILL_TRAFFIC_ANSWER_STATEMENTS_H
#define WIGEONRILL_TRAFFIC_ANSWER_STATEMENTS_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

#include "message_head.h"

// What the head of an answer states about its target and its request. Pure functions; `kind` is the
// step of the request, because fields of targets mean nothing in an answer of another node.

namespace wigeonrill::traffic::detail {

/// \returns false for an answer with status 2xx that lacks the signature that targets must send
[[nodiscard]] bool has_required_signature(const message_head& head, const header_names& names,
                                          step_kind kind);

/// \returns true when the head names another request than the given one
[[nodiscard]] bool answers_other_request(const message_head& head, const header_names& names,
                                         step_kind kind, const request_info& request);

/// \returns true when the head names the given request
[[nodiscard]] bool names_request(const message_head& head, const header_names& names,
                                 const request_info& request);

/// \brief Records in a result the status, the kind of the answer, and the target's statements about
///        its load, its rate limit, its pause, and that it is draining or not the expected one.
void record_statements(const message_head& head, const header_names& names, step_kind kind,
                       attempt_result& result);

} // namespace wigeonrill::traffic::detail

#endif
