#ifndef WIGEONRILL_TOOL_COMMAND_LINE_H
#define WIGEONRILL_TOOL_COMMAND_LINE_H

#ifndef WIGEONRILL_TOOL_MODULE
#error "Include wigeonrill/tool.h instead of this file."
#endif

namespace wigeonrill::tool {

/// \brief Runs the command-line tool.
/// \param argc number of arguments, including the name of the program
/// \param argv the arguments; the first one is the name of the program
/// \returns the exit code of the process, which is a value of tool::exit_code
[[nodiscard]] int run(int argc, const char* const* argv);

} // namespace wigeonrill::tool

#endif
