#ifndef WIGEONRILL_REPLAY_TRACE_IO_H
#define WIGEONRILL_REPLAY_TRACE_IO_H

#ifndef WIGEONRILL_REPLAY_MODULE
#error "Include wigeonrill/replay.h instead of this file."
#endif

namespace wigeonrill::replay {

/// \brief Writes a trace as JSON Lines; docs/reference/trace.md describes the format.
void write_trace(const trace& recorded, std::ostream& out);

/// \brief Reads a trace in the format of write_trace(). Empty lines are ignored.
/// \returns the trace, or an invalid_input error with the number of the invalid line
[[nodiscard]] result<trace> read_trace(std::istream& in);

} // namespace wigeonrill::replay

#endif
