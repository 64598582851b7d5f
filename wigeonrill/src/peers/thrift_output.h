#ifndef WIGEONRILL_PEERS_THRIFT_OUTPUT_H
#define WIGEONRILL_PEERS_THRIFT_OUTPUT_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers::detail {

/// \brief Keeps Thrift from printing a line to standard error for each failed connection.
///
/// Failed calls are reported as typed errors instead, and connections from unknown hosts must not
/// be able to fill the log. Safe to call repeatedly.
void disable_thrift_output();

} // namespace wigeonrill::peers::detail

#endif
