#ifndef WIGEONRILL_PEERS_THRIFT_OUTPUT_H
#define WIGEONRILL_PEERS_THRIFT_OUTPUT_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers::detail {

/// \brief Stops Thrift from printing each failed connection to standard error.
///
/// Failures come back as typed errors, and a stranger's connections must not fill the log.
void silence_thrift();

} // namespace wigeonrill::peers::detail

#endif
