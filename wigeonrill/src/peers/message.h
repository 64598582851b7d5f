#ifndef WIGEONRILL_PEERS_MESSAGE_H
#define WIGEONRILL_PEERS_MESSAGE_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Protocol number of this build; messages of another number are dropped.
inline constexpr std::int16_t protocol_number = 1;

/// \brief Largest datagram; fits one Ethernet frame with room for tunnels.
inline constexpr std::size_t max_datagram_bytes = 1'200;

/// \brief IPv4 and UDP headers, counted against the control budget.
inline constexpr std::size_t datagram_overhead_bytes = 28;

/// \brief Purpose of a message.
enum class message_kind : std::uint8_t {
    gossip_request, ///< digest that wants an answer; also the request to join
    gossip_reply,   ///< digest in answer to a request
    evidence,       ///< evidence reports for an aggregator
    verdict,        ///< verdicts from their judge to the reporters
    reading,        ///< the sender has read the platform's newest version
    observation     ///< observations of targets
};

/// \brief Names of the message kinds.
inline constexpr enum_name_table<message_kind, 6> message_kind_names{{
    {message_kind::gossip_request, "gossip_request"},
    {message_kind::gossip_reply, "gossip_reply"},
    {message_kind::evidence, "evidence"},
    {message_kind::verdict, "verdict"},
    {message_kind::reading, "reading"},
    {message_kind::observation, "observation"},
}};

/// \brief Belief about one node, as it travels in gossip.
struct member_record {
    node_id id;
    domain_name domain;
    incarnation process;
    std::uint32_t epoch{0}; ///< raised by the node itself to contradict a suspicion
    member_state state{member_state::alive}; ///< never one_way, which is local

    friend bool operator==(const member_record&, const member_record&) = default;
};

/// \brief Content of one datagram between nodes, in the project's types.
///
/// Instants are on the clock of the process that holds the message; the codec sends durations.
struct message {
    message_kind kind{message_kind::gossip_request};
    incarnation process;                   ///< of the sender
    std::uint32_t epoch{0};                ///< of the sender
    bool leaving{false};                   ///< the sender announced its planned stop
    std::uint64_t config_version{0};       ///< in force at the sender
    std::uint64_t sequence{0};             ///< per pair of nodes, from 1
    std::uint64_t echo{0};                 ///< last sequence that the sender got from the receiver
    domain_name domain;                    ///< of the sender; empty outside gossip
    std::uint64_t config_digest{0};        ///< hash of the digest in force; 0 outside gossip
    std::optional<wall_time> confirmed;    ///< newest confirmation by the platform
    std::vector<member_record> members;    ///< only in gossip
    std::vector<health::verdict> verdicts; ///< only in gossip and verdict
    std::vector<once::crash_mark> marks;   ///< only in gossip
    std::vector<health::evidence_report> evidence; ///< reporter fields are set by the receiver
    std::optional<instant> reading;                ///< when the sender read the platform itself
    std::vector<health::observation> observations;

    friend bool operator==(const message&, const message&) = default;
};

/// \brief Message with the node it is for.
struct outgoing {
    node_id to;
    message content;
    std::size_t charged{0}; ///< bytes taken from the control budget for it
};

} // namespace wigeonrill::peers

#endif
