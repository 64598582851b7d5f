#include "wigeonrill/tool.h"

#include <algorithm>

namespace wigeonrill::tool {

text_table::text_table(std::vector<std::string> header) {
    rows_.push_back(std::move(header));
}

void text_table::add_row(std::vector<std::string> cells) {
    cells.resize(rows_.front().size());
    rows_.push_back(std::move(cells));
}

std::string text_table::text() const {
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (const auto& row : rows_) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (const auto& row : rows_) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    }
    return text;
}

} // namespace wigeonrill::tool
