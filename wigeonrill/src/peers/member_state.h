#ifndef WIGEONRILL_PEERS_MEMBER_STATE_H
#define WIGEONRILL_PEERS_MEMBER_STATE_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Name of one process: its start time and random bits. A later start compares greater.
struct incarnation {
    std::uint64_t started_ms{0}; ///< wall clock at start, ms since 1970; 0: never heard of
    std::uint32_t nonce{0};      ///< below 2^31; orders two starts within one millisecond

    friend auto operator<=>(const incarnation&, const incarnation&) = default;
};

/// \brief What a node believes about another node.
enum class member_state : std::uint8_t {
    alive,   ///< listed, or heard of, and nothing speaks against it
    suspect, ///< did not answer; it has a few seconds to contradict
    one_way, ///< alive, but messages don't come through in both directions of our link
    leaving, ///< announced its planned stop
    dead     ///< did not contradict a suspicion
};

/// \brief Names of the member states in logs and status.
inline constexpr enum_name_table<member_state, 5> member_state_names{{
    {member_state::alive, "alive"},
    {member_state::suspect, "suspect"},
    {member_state::one_way, "one_way"},
    {member_state::leaving, "leaving"},
    {member_state::dead, "dead"},
}};

} // namespace wigeonrill::peers

#endif
