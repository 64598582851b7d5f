#include "wigeonrill/routing.h"

#include <algorithm>

namespace wigeonrill::routing {

namespace {

int hex_value(char digit) {
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    if (digit >= 'a' && digit <= 'f') {
        return digit - 'a' + 10;
    }
    return digit >= 'A' && digit <= 'F' ? digit - 'A' + 10 : -1;
}

bool is_unreserved(char it) {
    return (it >= '0' && it <= '9') || (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') ||
           it == '-' || it == '.' || it == '_' || it == '~';
}

// Appends the character of the escape at a position. Unreserved characters and "/" are decoded;
// others stay encoded, with upper-case digits. Returns false for an invalid escape.
bool append_escape(std::string_view path, std::size_t at, std::string& decoded) {
    const int high = at + 2 < path.size() ? hex_value(path[at + 1]) : -1;
    const int low = at + 2 < path.size() ? hex_value(path[at + 2]) : -1;
    if (high < 0 || low < 0) {
        return false;
    }
    const char value = static_cast<char>(high * 16 + low);
    if (is_unreserved(value) || value == '/') {
        decoded += value;
    } else {
        constexpr std::string_view digits = "0123456789ABCDEF";
        decoded +=
            {'%', digits[static_cast<std::size_t>(high)], digits[static_cast<std::size_t>(low)]};
    }
    return true;
}

std::optional<std::string> decode(std::string_view path) {
    std::string decoded;
    decoded.reserve(path.size());
    for (std::size_t i = 0; i < path.size(); ++i) {
        if (path[i] != '%') {
            decoded += path[i];
        } else if (append_escape(path, i, decoded)) {
            i += 2;
        } else {
            return std::nullopt;
        }
    }
    return decoded;
}

} // namespace

std::optional<std::string> normalize_path(std::string_view path) {
    if (path.empty() || path.front() != '/') {
        return std::nullopt;
    }
    const auto decoded = decode(path);
    if (!decoded) {
        return std::nullopt;
    }
    std::string joined;
    joined.reserve(decoded->size());
    std::size_t begin = 0;
    while (begin < decoded->size()) {
        const auto end = std::min(decoded->find('/', begin), decoded->size());
        const auto segment = std::string_view(*decoded).substr(begin, end - begin);
        if (segment == "." || segment == "..") {
            return std::nullopt;
        }
        if (!segment.empty()) {
            joined.append("/").append(segment);
        }
        begin = end + 1;
    }
    return joined;
}

} // namespace wigeonrill::routing
