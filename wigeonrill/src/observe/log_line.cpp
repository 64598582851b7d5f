#include "wigeonrill/observe.h"

#include <algorithm>
#include <cstdio>

namespace wigeonrill::observe {

namespace {

bool requires_quotes(std::string_view value) {
    return value.empty() || std::ranges::any_of(value, [](char it) {
               return it == '"' || it == '=' || it == '\\' || it == 0x7f ||
                      static_cast<unsigned char>(it) <= ' ';
           });
}

// Appends a quoted value. Control characters are escaped, so that input from a caller can't begin a
// new log line.
void append_quoted(std::string& text, std::string_view value) {
    text += '"';
    for (const char it : value) {
        if (it == '"' || it == '\\') {
            text += '\\';
            text += it;
        } else if (static_cast<unsigned char>(it) < ' ' || it == 0x7f) {
            std::array<char, 8> buf{};
            std::snprintf(buf.data(), buf.size(), "\\x%02x", static_cast<unsigned char>(it));
            text += buf.data();
        } else {
            text += it;
        }
    }
    text += '"';
}

} // namespace

log_line& log_line::with(std::string_view key, std::string_view value) {
    text_ += ' ';
    text_ += key;
    text_ += '=';
    if (requires_quotes(value)) {
        append_quoted(text_, value);
    } else {
        text_ += value;
    }
    return *this;
}

log_line& log_line::with(std::string_view key, std::int64_t value) {
    return with(key, std::string_view(std::to_string(value)));
}

log_line& log_line::with(std::string_view key, nanoseconds value) {
    constexpr double nanoseconds_per_millisecond = 1e6;
    std::array<char, 32> buf{};
    const auto n = std::snprintf(buf.data(), buf.size(), "%.3f",
                                 static_cast<double>(value.count()) / nanoseconds_per_millisecond);
    return with(key, std::string_view(buf.data(), static_cast<std::size_t>(n)));
}

} // namespace wigeonrill::observe
