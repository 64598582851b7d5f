#ifndef WIGEONRILL_ONCE_IDEMPOTENCY_KEY_H
#define WIGEONRILL_ONCE_IDEMPOTENCY_KEY_H

#ifndef WIGEONRILL_ONCE_MODULE
#error "Include wigeonrill/once.h instead of this file."
#endif

namespace wigeonrill::once {

/// \brief What a key tells about its age and owner.
enum class key_kind : std::uint8_t {
    issued,  ///< names the process that issued it
    uuid_v7, ///< carries its creation time (RFC 9562)
    other    ///< tells nothing
};

/// \brief Names of the key kinds in log lines.
inline constexpr enum_name_table<key_kind, 3> key_kind_names{{
    {key_kind::issued, "issued"},
    {key_kind::uuid_v7, "uuid_v7"},
    {key_kind::other, "other"},
}};

/// \brief Parsed value of the header Idempotency-Key.
struct idempotency_key {
    key_kind kind{key_kind::other};
    std::string text;             ///< without quotes; a UUID in lower case
    endpoint owner;               ///< issued: traffic address of the process
    std::uint64_t incarnation{0}; ///< issued: incarnation of the process
    std::uint64_t sequence{0};    ///< issued: issue time, see key_issuer
    wall_time created{};          ///< uuid_v7: creation time on the caller's clock
};

/// \brief Parses the header's value, a token or a quoted string of up to 255 visible characters.
///
/// Quotes don't belong to the key, so both spellings name the same key.
/// \returns the key, or an invalid_input error; also for a damaged issued key, because taking it
/// for
///          another kind would move it to another owner
[[nodiscard]] result<idempotency_key> parse_key(std::string_view header);

/// \returns the text of an issued key: wr1-<ip>-<port>-<incarnation>-<sequence>
[[nodiscard]] std::string format_issued_key(const endpoint& owner, std::uint64_t incarnation,
                                            std::uint64_t sequence);

/// \brief Name space of a key: the workspace, else the caller.
///
/// Issued keys and UUIDs are unique without it. They don't take the caller's address, because a
/// caller that changes its address would run its request again.
[[nodiscard]] std::string key_scope(const idempotency_key& key, std::string_view workspace,
                                    std::string_view caller);

} // namespace wigeonrill::once

#endif
