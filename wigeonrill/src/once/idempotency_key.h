#ifndef WIGEONRILL_ONCE_IDEMPOTENCY_KEY_H
#define WIGEONRILL_ONCE_IDEMPOTENCY_KEY_H

#ifndef WIGEONRILL_ONCE_MODULE
#error "Include wigeonrill/once.h instead of this file."
#endif

namespace wigeonrill::once {

/// \brief Formats of a key, by what they say about its age and owner.
enum class key_kind : std::uint8_t {
    issued,  ///< issued by a node; names the process that issued it
    uuid_v7, ///< UUID version 7, which contains its creation time (RFC 9562)
    other    ///< any other text; says nothing about age or owner
};

/// \brief Names of the key kinds in log lines.
inline constexpr enum_name_table<key_kind, 3> key_kind_names{{
    {key_kind::issued, "issued"},
    {key_kind::uuid_v7, "uuid_v7"},
    {key_kind::other, "other"},
}};

/// \brief Parsed value of the Idempotency-Key header.
struct idempotency_key {
    key_kind kind{key_kind::other};
    std::string text;             ///< without quotes; a UUID version 7 in lower case
    endpoint owner;               ///< issued: traffic address of the issuing process
    std::uint64_t incarnation{0}; ///< issued: incarnation of the issuing process
    std::uint64_t sequence{0};    ///< issued: time of issue, see key_issuer
    wall_time created{};          ///< uuid_v7: creation time on the caller's clock
};

/// \brief Parses the header's value, a token or a quoted string of up to 255 visible characters.
///
/// Quotes are not part of the key, so both forms name the same key.
/// \returns the key, or an invalid_input error. A damaged issued key is an error too, because as a
///          key of another kind it would have another owner
[[nodiscard]] result<idempotency_key> parse_key(std::string_view header);

/// \returns the text of an issued key: wr1-<ip>-<port>-<incarnation>-<sequence>
[[nodiscard]] std::string format_issued_key(const endpoint& owner, std::uint64_t incarnation,
                                            std::uint64_t sequence);

/// \brief Returns the scope in which a key is unique: the workspace if there is one, else the
/// caller.
///
/// Issued keys and UUIDs version 7 are globally unique. Their scope doesn't include the caller's
/// address, because the request of a caller whose address changes would run again.
[[nodiscard]] std::string key_scope(const idempotency_key& key, std::string_view workspace,
                                    std::string_view caller);

} // namespace wigeonrill::once

#endif
