#ifndef WIGEONRILL_PEERS_WIRE_CONVERSION_H
#define WIGEONRILL_PEERS_WIRE_CONVERSION_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h before this file."
#endif

#include "messages_types.h"

namespace wigeonrill::peers::detail {

/// \brief Longest name of a node, service, target or workspace.
inline constexpr std::size_t max_name_bytes = 255;
/// \returns whether a text that was received can be a name
[[nodiscard]] inline bool valid_name(const std::string& name) {
    return !name.empty() && name.size() <= max_name_bytes;
}

[[nodiscard]] wire::CreditAsk to_wire(const quota::credit_ask& item);
[[nodiscard]] wire::CreditGrant to_wire(const quota::credit_grant& item);
/// \returns the question without requests and votes whose values are not possible
[[nodiscard]] quota::credit_ask credit_ask_from_wire(const wire::CreditAsk& item);
[[nodiscard]] quota::credit_grant credit_grant_from_wire(const wire::CreditGrant& item);

/// \brief Converts a message to the types that Thrift encodes.
[[nodiscard]] wire::Message to_wire(const message& content, instant now, wall_time wall_now);

/// \returns whether the fields that every message needs have values that are possible
[[nodiscard]] bool valid_header(const wire::Message& in, wall_time wall_now);

/// \brief Converts a message with a valid header. Items with values that this build doesn't know
/// are
///        left out.
/// \param from sender of the message
[[nodiscard]] message from_wire(const wire::Message& in, const node_id& from, instant now,
                                wall_time wall_now);

} // namespace wigeonrill::peers::detail

#endif
