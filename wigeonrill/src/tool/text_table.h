#ifndef WIGEONRILL_TOOL_TEXT_TABLE_H
#define WIGEONRILL_TOOL_TEXT_TABLE_H

#ifndef WIGEONRILL_TOOL_MODULE
#error "Include wigeonrill/tool.h instead of this file."
#endif

namespace wigeonrill::tool {

/// \brief Table of text with aligned columns for a terminal.
class text_table {
public:
    explicit text_table(std::vector<std::string> header);

    /// \brief Appends a row; missing cells are empty.
    void add_row(std::vector<std::string> cells);

    /// \returns the header and the rows, columns separated by two spaces
    [[nodiscard]] std::string text() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

} // namespace wigeonrill::tool

#endif
