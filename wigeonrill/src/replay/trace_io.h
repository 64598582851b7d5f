#ifndef WIGEONRILL_REPLAY_TRACE_IO_H
#define WIGEONRILL_REPLAY_TRACE_IO_H

#ifndef WIGEONRILL_REPLAY_MODULE
#error "Include wigeonrill/replay.h instead of this file."
#endif

namespace wigeonrill::replay {

/// \brief Writes a trace as JSON lines (docs/reference/trace.md).
void write_trace(const trace& recorded, std::ostream& out);

/// \brief Reads a trace.
/// \returns the trace, or an invalid_input error that names the line
[[nodiscard]] result<trace> read_trace(std::istream& in);

} // namespace wigeonrill::replay

#endif
