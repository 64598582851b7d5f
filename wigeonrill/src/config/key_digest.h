#ifndef WIGEONRILL_CONFIG_KEY_DIGEST_H
#define WIGEONRILL_CONFIG_KEY_DIGEST_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief Digest of an API key: the first 128 bits of its SHA-256.
///
/// Configuration, messages between nodes and logs contain digests only. API keys are random, so a
/// digest doesn't lead back to its key.
struct key_digest {
    std::array<std::uint8_t, 16> bytes{};

    friend auto operator<=>(const key_digest&, const key_digest&) = default;
};

/// \returns the digest of an API key
[[nodiscard]] key_digest digest_of_key(std::string_view key);
/// \returns the digest in lower-case hexadecimal digits
[[nodiscard]] std::string to_string(const key_digest& digest);
/// \returns the digest, or nothing unless the text is 32 lower-case hexadecimal digits
[[nodiscard]] std::optional<key_digest> parse_key_digest(std::string_view text);
/// \brief Compares two digests in a time that doesn't depend on their content.
[[nodiscard]] bool equal_in_constant_time(const key_digest& left, const key_digest& right);

} // namespace wigeonrill::config

#endif
