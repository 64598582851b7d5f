#ifndef WIGEONRILL_PEERS_CODEC_H
#define WIGEONRILL_PEERS_CODEC_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Reason for dropping a received datagram or one of its items.
enum class drop_reason : std::uint8_t {
    oversized,      ///< is longer than max_datagram_bytes
    malformed,      ///< is not a valid message
    wrong_protocol, ///< has another protocol number than this build
    unauthentic,    ///< lacks the authentication code, or the code is wrong for the shared secret
    unknown_sender, ///< comes from an address that is not a member
    stale_process,  ///< comes from an older incarnation of the node at its address
    duplicate,      ///< was received before, or is too old to tell
    wrong_judge     ///< holds a verdict whose judge is not its sender or not a member
};

/// \brief Names of the drop reasons in metrics.
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

/// \brief Encodes messages as datagrams and decodes them.
///
/// The payload is in Thrift's compact encoding. With a secret each datagram ends with the first 16
/// bytes of an HMAC-SHA-256 (RFC 2104) over sender, receiver and payload, so a copy that is
/// replayed from or to another address is rejected.
class codec {
public:
    /// \param clock converts points in time to durations and back; must outlive the codec
    /// \param secret key shared by all nodes; if empty, datagrams are not authenticated
    codec(const clock_source& clock, std::string secret);

    /// \brief Encodes a message for one receiver.
    /// \returns the datagram, or an invalid_input error if it exceeds max_datagram_bytes
    [[nodiscard]] result<std::string> encode(const message& content, const node_id& from,
                                             const node_id& to) const;
    /// \brief Authenticates and decodes a datagram. Items with unknown values are left out.
    /// \returns the message, or the reason to drop the datagram
    [[nodiscard]] tl::expected<message, drop_reason>
    decode(std::string_view datagram, const node_id& from, const node_id& to) const;

private:
    [[nodiscard]] std::string authentication_code(std::string_view payload, const node_id& from,
                                                  const node_id& to) const;

    const clock_source& clock_;
    std::string secret_;
};

/// \brief Upper bounds of encoded sizes in bytes. They allow filling a datagram without encoding it
/// twice.
///@{
inline constexpr std::size_t header_size_bound = 128; ///< without the domain name
[[nodiscard]] std::size_t size_bound(const member_record& item);
[[nodiscard]] std::size_t size_bound(const health::verdict& item);
[[nodiscard]] std::size_t size_bound(const once::crash_mark& item);
[[nodiscard]] std::size_t size_bound(const health::evidence_report& item);
[[nodiscard]] std::size_t size_bound(const health::rate_limit& item);
/// \copydoc size_bound(const member_record&)
[[nodiscard]] std::size_t size_bound(const health::observation& item);
///@}

} // namespace wigeonrill::peers

#endif
