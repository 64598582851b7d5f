#include "wigeonrill/once.h"

#include <array>
#include <charconv>

namespace wigeonrill::once {

std::string fingerprint_text(std::uint64_t fingerprint) {
    constexpr std::size_t digits = 16;
    constexpr int hexadecimal = 16;
    std::array<char, digits> buf{};
    const auto end =
        std::to_chars(buf.data(), buf.data() + buf.size(), fingerprint, hexadecimal).ptr;
    const auto n = static_cast<std::size_t>(end - buf.data());
    return std::string(digits - n, '0') + std::string(buf.data(), n);
}

} // namespace wigeonrill::once
