#include "wigeonrill/config.h"

namespace wigeonrill::config {

void reading_context::fail(const std::string& path, const std::string& what, std::string remedy) {
    if (failure) {
        return;
    }
    const auto place = path.empty() ? source : source + ": " + path;
    failure = error{error_kind::invalid_input, place + ": " + what, std::move(remedy)};
}

} // namespace wigeonrill::config
