#include "wigeonrill/config.h"

namespace wigeonrill::config {

void parse_context::fail(const std::string& path, const std::string& problem, std::string remedy) {
    if (first_error) {
        return;
    }
    const auto location = path.empty() ? source : source + ": " + path;
    first_error = error{error_kind::invalid_input, location + ": " + problem, std::move(remedy)};
}

} // namespace wigeonrill::config
