#ifndef WIGEONRILL_TOOL_EXIT_CODE_H
#define WIGEONRILL_TOOL_EXIT_CODE_H

#ifndef WIGEONRILL_TOOL_MODULE
#error "Include wigeonrill/tool.h instead of this file."
#endif

namespace wigeonrill::tool {

/// \brief Exit codes of the tool, documented in docs/reference/command-line.md.
enum class exit_code : std::uint8_t {
    success = 0,
    negative = 1,    ///< the command ran and the answer is no, such as an invalid file
    usage = 2,       ///< the command line is wrong
    unreachable = 3, ///< a daemon did not answer
};

} // namespace wigeonrill::tool

#endif
