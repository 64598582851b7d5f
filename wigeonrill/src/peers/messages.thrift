// Messages between nodes. Regenerate the committed code after a change:
//   thrift --gen cpp:no_skeleton -out wigeonrill/gen-cpp wigeonrill/src/peers/messages.thrift
// Builds of different versions talk to each other: only add fields, as optional, with new numbers.
// Enumerations travel as integers so that an unknown value reaches the codec, which drops the item.

namespace cpp wigeonrill.wire

// What a node believes about another node.
struct Member {
  1: string id
  2: string domain
  3: i64 started_ms
  4: i32 nonce
  5: i32 epoch
  6: i8 state
}

// A judgement on a target. Expiry is a duration because the clocks of two VMs differ.
struct Verdict {
  1: string service_name
  2: string target_name
  3: i8 state
  4: i32 severity_milli
  5: string judge
  6: i64 sequence
  7: i32 remaining_ms
}

struct CrashMark {
  1: i64 fingerprint
  2: string target_name
  3: i32 age_ms
}

// Evidence of the sender. Log-likelihood ratios are sent in thousandths of a nat.
struct Evidence {
  1: string service_name
  2: string target_name
  3: i32 llr_milli
  4: i32 answers
  5: i64 sequence
  // Latest slowdown of the service's other targets, in thousandths; absent: not known.
  6: optional i32 others_ratio_milli
}

// What one answer said about a target.
struct Observation {
  1: string service_name
  2: string target_name
  3: i8 kind
  // 4 was the load that the target reported.
  // Requests of the sender in the target; absent: not told.
  5: optional i32 outstanding
}

// Every datagram is one Message. The sender's id is the source address of the datagram.
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
  // Wall clock of the node that asked the platform. A duration would gain the time in transit with
  // every hop, and nodes would confirm each other for good.
  12: optional i64 confirmed_ms
  13: optional list<Member> members
  14: optional list<Verdict> verdicts
  15: optional list<CrashMark> crash_marks
  16: optional list<Evidence> evidence
  // Age of the sender's own reading of the platform, whose newest version it has in force.
  17: optional i32 reading_age_ms
  18: optional list<Observation> observations
}

struct Shard {
  1: string name
  2: i64 version
  3: string digest
  4: binary content
}

struct ChangeSet {
  1: i16 protocol
  2: i64 format
  3: i64 base_version
  4: i64 version
  5: i64 published_ms
  6: string digest
  7: list<Shard> changed
  8: list<string> removed
}

struct Status {
  1: i16 protocol
  2: string json
}

exception Refusal {
  1: string message
  2: string remedy
}

service PeerService {
  ChangeSet changes_since(1: i64 version, 2: i16 protocol) throws (1: Refusal refusal)
  Status status(1: i16 protocol) throws (1: Refusal refusal)
}
