#ifndef WIGEONRILL_TOOL_EXIT_CODE_H
#define WIGEONRILL_TOOL_EXIT_CODE_H

#ifndef WIGEONRILL_TOOL_MODULE
#error "Include wigeonrill/tool.h instead of this file."
#endif

namespace wigeonrill::tool {

/// \brief Exit codes of the command-line tool. docs/reference/command-line.md documents them.
enum class exit_code : std::uint8_t {
    success = 0,
    negative_result = 1, ///< the command ran, but its result is negative, such as an invalid file
    usage = 2,           ///< the command line is invalid
    unreachable = 3,     ///< at least one daemon did not answer
};

} // namespace wigeonrill::tool

#endif
