#ifndef WIGEONRILL_PEERS_CODEC_H
#define WIGEONRILL_PEERS_CODEC_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Why a datagram was dropped.
enum class drop_reason : std::uint8_t {
    oversized,      ///< longer than max_datagram_bytes
    malformed,      ///< not a valid message
    wrong_protocol, ///< another protocol number
    unauthentic,    ///< code missing or wrong for the shared secret
    unknown_sender, ///< source address is not a member
    stale_process,  ///< from an older incarnation of its address
    duplicate,      ///< sequence seen before, or too old to tell
    wrong_judge     ///< verdict of a node that is not its sender or not a member
};

/// \brief Names of the reasons in metrics.
inline constexpr enum_name_table<drop_reason, 8> drop_reason_names{{
    {drop_reason::oversized, "oversized"},
    {drop_reason::malformed, "malformed"},
    {drop_reason::wrong_protocol, "wrong_protocol"},
    {drop_reason::unauthentic, "unauthentic"},
    {drop_reason::unknown_sender, "unknown_sender"},
    {drop_reason::stale_process, "stale_process"},
    {drop_reason::duplicate, "duplicate"},
    {drop_reason::wrong_judge, "wrong_judge"},
}};

/// \brief Converts messages to datagrams and back: Thrift compact encoding, then authentication.
///
/// With a secret each datagram ends with the first 16 bytes of HMAC-SHA-256 (RFC 2104) over
/// sender, receiver and payload, so a copy sent from or to another address doesn't pass.
class codec {
public:
    /// \param secret shared by all nodes; empty: datagrams are not authenticated
    codec(const clock_source& clock, std::string secret);

    /// \returns the datagram, or an invalid_input error when it exceeds max_datagram_bytes
    [[nodiscard]] result<std::string> encode(const message& content, const node_id& from,
                                             const node_id& to) const;
    /// \returns the message, or the reason to drop the datagram
    [[nodiscard]] tl::expected<message, drop_reason>
    decode(std::string_view datagram, const node_id& from, const node_id& to) const;

private:
    [[nodiscard]] std::string authentication_code(std::string_view payload, const node_id& from,
                                                  const node_id& to) const;

    const clock_source& clock_;
    std::string secret_;
};

/// \brief Upper bounds of encoded sizes, in bytes, to fill a datagram without encoding it twice.
///@{
inline constexpr std::size_t header_size_bound = 128; ///< without the domain's name
[[nodiscard]] std::size_t size_bound(const member_record& item);
[[nodiscard]] std::size_t size_bound(const health::verdict& item);
[[nodiscard]] std::size_t size_bound(const once::crash_mark& item);
[[nodiscard]] std::size_t size_bound(const health::evidence_report& item);
/// \copydoc size_bound(const member_record&)
[[nodiscard]] std::size_t size_bound(const health::observation& item);
///@}

} // namespace wigeonrill::peers

#endif
