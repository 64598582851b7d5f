#ifndef WIGEONRILL_PEERS_MEMBER_STATE_H
#define WIGEONRILL_PEERS_MEMBER_STATE_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Identifies one process of a node by its start time and random bits. A process that
/// started later compares greater.
struct incarnation {
    std::uint64_t started_ms{0}; ///< wall clock at the start in ms since 1970; 0: not known
    std::uint32_t nonce{0};      ///< random, below 2^31; orders two starts in one millisecond

    friend auto operator<=>(const incarnation&, const incarnation&) = default;
};

/// \brief State of a node as another node sees it.
enum class member_state : std::uint8_t {
    alive,   ///< is a member, and nothing indicates a failure
    suspect, ///< did not answer; is declared dead unless it refutes this in a few seconds
    one_way, ///< alive, but messages are lost in one direction between the two nodes
    leaving, ///< announced its planned stop, or is listed as leaving
    dead     ///< did not refute a suspicion in time
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
