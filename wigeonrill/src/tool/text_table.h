#ifndef WIGEONRILL_TOOL_TEXT_TABLE_H
#define WIGEONRILL_TOOL_TEXT_TABLE_H

#ifndef WIGEONRILL_TOOL_MODULE
#error "Include wigeonrill/tool.h instead of this file."
#endif

namespace wigeonrill::tool {

/// \brief Formats a table with aligned columns for a terminal.
class text_table {
public:
    /// \param header titles of the columns; their number is the number of columns
    explicit text_table(std::vector<std::string> header);

    /// \brief Appends a row. Missing cells at its end are filled with empty text.
    void add_row(std::vector<std::string> cells);

    /// \returns one line for the header and one per row; columns are at least two spaces apart
    [[nodiscard]] std::string text() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

} // namespace wigeonrill::tool

#endif
