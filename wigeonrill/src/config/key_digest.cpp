#include "wigeonrill/config.h"

#include <Poco/SHA2Engine.h>
#include <algorithm>

namespace wigeonrill::config {

namespace {

constexpr std::string_view hex_digits = "0123456789abcdef";

} // namespace

key_digest digest_of_key(std::string_view key) {
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(key.data(), key.size());
    const auto& full = engine.digest();
    key_digest digest;
    std::copy_n(full.begin(), digest.bytes.size(), digest.bytes.begin());
    return digest;
}

std::string to_string(const key_digest& digest) {
    std::string text;
    for (const auto it : digest.bytes) {
        text += hex_digits[it >> 4U];
        text += hex_digits[it & 0xfU];
    }
    return text;
}

std::optional<key_digest> parse_key_digest(std::string_view text) {
    key_digest digest;
    if (text.size() != 2 * digest.bytes.size()) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < digest.bytes.size(); ++i) {
        const auto high = hex_digits.find(text[2 * i]);
        const auto low = hex_digits.find(text[2 * i + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return std::nullopt;
        }
        digest.bytes[i] = static_cast<std::uint8_t>(high << 4U | low);
    }
    return digest;
}

bool equal_in_constant_time(const key_digest& left, const key_digest& right) {
    unsigned difference = 0;
    for (std::size_t i = 0; i < left.bytes.size(); ++i) {
        difference |= static_cast<unsigned>(left.bytes[i] ^ right.bytes[i]);
    }
    return difference == 0;
}

} // namespace wigeonrill::config
