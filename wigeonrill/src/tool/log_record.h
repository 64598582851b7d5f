#ifndef WIGEONRILL_TOOL_LOG_RECORD_H
#define WIGEONRILL_TOOL_LOG_RECORD_H

#ifndef WIGEONRILL_TOOL_MODULE
#error "Include wigeonrill/tool.h instead of this file."
#endif

namespace wigeonrill::tool {

/// \brief One line of a daemon's log. docs/operations.md describes the format.
struct log_record {
    wall_time when{};
    std::string origin; ///< what a log collector wrote before the time, such as the node's name
    std::string level;
    std::string text; ///< subsystem, sentence and fields

    /// \returns the unescaped value of the first field with this name
    [[nodiscard]] std::optional<std::string> field(std::string_view name) const;
    /// \returns true when a field or the sentence contains this word as a whole
    [[nodiscard]] bool mentions(std::string_view word) const;
};

/// \brief Reads a line of a log.
/// \returns nothing for a line without a time, level and text, such as a damaged one
[[nodiscard]] std::optional<log_record> parse_log_line(std::string_view line);

/// \returns a time as it stands in logs, in UTC with microseconds
[[nodiscard]] std::string format_log_time(wall_time when);

} // namespace wigeonrill::tool

#endif
