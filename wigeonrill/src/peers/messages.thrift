// Messages between nodes. The generated code is committed; regenerate it after a change:
//   thrift --gen cpp:no_skeleton -out wigeonrill/gen-cpp wigeonrill/src/peers/messages.thrift
// Builds of different versions must understand each other, so only add fields, as optional and with
// new numbers. Enumerations are sent as integers, so that an unknown value reaches the codec, which
// drops the item.

namespace cpp wigeonrill.wire

// State of a node as the sender sees it.
struct Member {
  1: string id
  2: string domain
  3: i64 started_ms
  4: i32 nonce
  5: i32 epoch
  6: i8 state
  // Port at which the node serves callers, at the IP address of its id; absent if not known.
  7: optional i32 traffic_port
  // Whether the node reaches no target.
  8: optional bool cut_off
  // Whether the node passes on the API keys of callers, and checks those of passed on requests.
  9: optional bool checks_keys
}

// Judgement on the health of a target. The expiry is sent as the remaining time, because the clocks
// of two VMs differ.
struct Verdict {
  1: string service_name
  2: string target_name
  3: i8 state
  4: i32 severity_milli
  5: string judge
  6: i64 sequence
  7: i32 remaining_ms
  // Process of the target that the verdict is about; absent if not known.
  8: optional i64 started_ms
  // The latest registration of that process that the verdict is about; absent if it is about all.
  9: optional i64 created
  // Era and revision of the store in which it was read that the target leaves; absent if the target
  // said so itself. With the state healthy: it doesn't leave any more.
  10: optional i64 order
}

// Statement that a target died while it ran a request with this fingerprint.
struct CrashMark {
  1: i64 fingerprint
  2: string target_name
  3: i32 age_ms
}

// Evidence of the sender on one target. The sum of log-likelihood ratios is in thousandths of a
// nat.
struct Evidence {
  1: string service_name
  2: string target_name
  3: i32 llr_milli
  4: i32 answers
  5: i64 sequence
  // Latest slowdown of the service's other targets in thousandths; absent if not known.
  6: optional i32 others_ratio_milli
}

// Observation of a target by the sender, from one answer or its absence.
struct Observation {
  1: string service_name
  2: string target_name
  3: i8 kind
  // Field 4 was the load that the target reported; don't reuse the number.
  // Number of outstanding requests of the sender in the target; absent if not reported.
  5: optional i32 outstanding
}

// What a target last stated about its rate limit.
struct RateLimit {
  1: string service_name
  2: string target_name
  // Requests per second from all nodes together; absent if the target has no limit any more.
  3: optional double per_second
  4: i64 sequence
  5: i32 remaining_ms
}

// Request for credit of a workspace, or the return of unused credit, at the granter of a seat.
struct CreditRequest {
  1: i16 seat
  2: string workspace
  3: i32 number
  4: i32 wanted
  5: optional i32 returned
}

// Question to a granter, with the votes of the sender for it.
struct CreditAsk {
  1: i32 known_nodes
  2: list<i16> votes
  3: optional list<i16> withheld
  4: optional list<CreditRequest> requests
}

struct CreditAnswer {
  1: i32 number
  2: i32 granted
  3: optional i32 retry_ms
}

// Answer to a CreditAsk.
struct CreditGrant {
  1: optional list<CreditAnswer> answers
}

// Each datagram holds one Message. The id of the sender is the source address of the datagram.
struct Message {
  1: i16 protocol
  2: i8 kind
  3: i64 started_ms
  4: i32 nonce
  5: i32 epoch
  6: i64 config_version
  7: i64 sequence
  8: i64 echo
  9: optional bool leaving
  10: optional string domain
  11: optional i64 config_digest
  // Time of the platform's newest confirmation, in ms on the wall clock of the node that asked it.
  // An age would leave out the time in transit, so the confirmation would look newer with every hop
  // and nodes could confirm each other forever.
  12: optional i64 confirmed_ms
  13: optional list<Member> members
  14: optional list<Verdict> verdicts
  15: optional list<CrashMark> crash_marks
  16: optional list<Evidence> evidence
  // Time in ms since the sender read the platform's newest version, which it has in force.
  17: optional i32 reading_age_ms
  18: optional list<Observation> observations
  19: optional list<RateLimit> rate_limits
  // The same as in Member, for the sender.
  20: optional i32 traffic_port
  21: optional bool cut_off
  22: optional CreditAsk credit_ask
  23: optional CreditGrant credit_grant
  // The same as in Member, for the sender.
  24: optional bool checks_keys
}

// Which process a target is, and which of its registrations with the platform.
struct Registration {
  1: string target_name
  2: i64 started_ms
  3: i64 created
}

// One part of the configuration.
struct Shard {
  1: string name
  2: i64 version
  3: string digest
  4: binary content
  // Registrations of the targets in the content; left out where none is known.
  5: optional list<Registration> registrations
}

// Difference between two versions of the configuration.
struct ChangeSet {
  1: i16 protocol
  2: i64 format
  3: i64 base_version
  4: i64 version
  5: i64 published_ms
  6: string digest
  7: list<Shard> changed
  8: list<string> removed
  // Number of the operator's rules in the version; left out if they have none.
  9: optional i64 rules_version
  // Digest of the content of all shards and their registrations, without their versions; left out
  // by builds that don't know it.
  10: optional string content_digest
}

// Identifies the content of a shard that the caller has.
struct ShardMark {
  1: string name
  // Hash of the content and the registrations.
  2: i64 content
}

// Status of a node as JSON text.
struct Status {
  1: i16 protocol
  2: string json
}

// Error that the called node reports: what is wrong, and what the caller can do about it.
exception Refusal {
  1: string message
  2: string remedy
  // Whether the called node only has too many calls at this moment.
  3: optional bool busy
}

service PeerService {
  // may_refuse: the caller can ask another node if this one is busy; false for builds that don't
  // know it.
  // base: all shards of the version that the caller has, sorted by name; empty for builds that don't
  // know it, and where there are too many.
  ChangeSet changes_since(1: i64 version, 2: i16 protocol, 3: bool may_refuse, 4: list<ShardMark> base)
      throws (1: Refusal refusal)
  Status status(1: i16 protocol) throws (1: Refusal refusal)
}
