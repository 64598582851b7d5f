#ifndef WIGEONRILL_PEERS_MESSAGE_H
#define WIGEONRILL_PEERS_MESSAGE_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Protocol number of this build; messages with another number are dropped.
inline constexpr std::int16_t protocol_number = 1;

/// \brief Largest size of a datagram; fits one Ethernet frame with room for tunnel headers.
inline constexpr std::size_t max_datagram_bytes = 1'200;

/// \brief Size of the IPv4 and UDP headers, which count against the control budget too.
inline constexpr std::size_t datagram_overhead_bytes = 28;

/// \brief Purpose of a message.
enum class message_kind : std::uint8_t {
    gossip_request, ///< gossip that must be answered; also the request to join the fleet
    gossip_reply,   ///< gossip that needs no answer, such as the one to a request
    evidence,       ///< evidence reports for an aggregator
    verdict,        ///< verdicts that their judge sends to the reporters of the evidence
    reading,        ///< notice that the sender has read the platform's store
    observation,    ///< observations of targets by the sender
    credit          ///< question to a granter of credit for workspaces, or its answer
};

/// \brief Names of the message kinds.
inline constexpr enum_name_table<message_kind, 7> message_kind_names{{
    {message_kind::gossip_request, "gossip_request"},
    {message_kind::gossip_reply, "gossip_reply"},
    {message_kind::evidence, "evidence"},
    {message_kind::verdict, "verdict"},
    {message_kind::reading, "reading"},
    {message_kind::observation, "observation"},
    {message_kind::credit, "credit"},
}};

/// \brief State of one node as it is sent in gossip.
struct member_record {
    node_id id;
    domain_name domain;
    incarnation process;
    std::uint32_t epoch{0};                  ///< increased by the node itself to refute a suspicion
    member_state state{member_state::alive}; ///< never one_way, which isn't sent to others
    std::uint16_t traffic_port{0}; ///< for callers, at the IP address of the id; 0: not known
    bool cut_off{false};           ///< whether it reaches no target
    /// Whether it passes on the API keys of callers, and checks the key and takes the credit of a
    /// request that another node passes on. Older builds don't.
    bool checks_keys{false};

    friend bool operator==(const member_record&, const member_record&) = default;
};

/// \brief Decoded content of one datagram between nodes.
///
/// Values of type instant are on the clock of the process that holds the message; the codec
/// converts them to durations.
struct message {
    message_kind kind{message_kind::gossip_request};
    incarnation process;                ///< incarnation of the sender
    std::uint32_t epoch{0};             ///< epoch of the sender
    bool leaving{false};                ///< whether the sender announced its planned stop
    std::uint64_t config_version{0};    ///< configuration version in force at the sender
    std::uint64_t sequence{0};          ///< counted from 1 per pair of sender and receiver
    std::uint64_t echo{0};              ///< highest sequence that the sender got from the receiver
    domain_name domain;                 ///< failure domain of the sender; empty outside gossip
    std::uint16_t traffic_port{0};      ///< of the sender, as in its record
    bool cut_off{false};                ///< whether the sender reaches no target
    bool checks_keys{false};            ///< of the sender, as in its record
    std::uint64_t config_digest{0};     ///< hash of the digest in force; 0 outside gossip
    std::optional<wall_time> confirmed; ///< time of the platform's newest confirmation
    std::vector<member_record> members; ///< only in gossip
    std::vector<health::verdict> verdicts;         ///< only in gossip and verdict
    std::vector<once::crash_mark> marks;           ///< only in gossip
    std::vector<health::rate_limit> rate_limits;   ///< only in gossip
    std::vector<health::evidence_report> evidence; ///< the receiver sets the reporter fields
    std::optional<instant> reading;                ///< time at which the sender read the store
    std::vector<health::observation> observations;
    std::optional<quota::credit_ask> credit_ask;     ///< only in credit
    std::optional<quota::credit_grant> credit_grant; ///< only in credit

    friend bool operator==(const message&, const message&) = default;
};

/// \brief Message to send, with its receiver.
struct outgoing_message {
    node_id to;
    message content;
    std::size_t charged_bytes{0}; ///< bytes charged to the budget, based on an estimate
};

} // namespace wigeonrill::peers

#endif
