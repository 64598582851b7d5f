#ifndef WIGEONRILL_TOOL_COMMAND_LINE_H
#define WIGEONRILL_TOOL_COMMAND_LINE_H

#ifndef WIGEONRILL_TOOL_MODULE
#error "Include wigeonrill/tool.h instead of this file."
#endif

namespace wigeonrill::tool {

/// \brief Runs the tool.
/// \param argc number of arguments, with the program's name
/// \param argv arguments
/// \returns the process's exit code, see exit_code
[[nodiscard]] int run(int argc, const char* const* argv);

} // namespace wigeonrill::tool

#endif
