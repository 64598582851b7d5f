#include "fake_fleet.h"

#include "messages_types.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

using namespace wigeonrill;
using namespace wigeonrill::peers;

namespace {

const node_id alice("10.0.0.1:7400");
const node_id bob("10.0.0.2:7400");

// Datagram of messages_stay_readable_beside_the_landed_build as commit 2692268 encodes it, without
// a secret; two hexadecimal digits a byte.
const std::string landed_datagram =
    "001402130116b090abfef962159a01150616a413161216101118067261636b2d3116dfb7de9af1d9"
    "a2a30216c888abfef962191c180d31302e302e302e323a3734303018067261636b2d3216e080abfe"
    "f962150a1504130115feff071100191c180573746f636b180773746f636b2d31130115f8cf02180d"
    "31302e302e302e313a37343030165015d0860300191c1601180773746f636b2d32150000191c1805"
    "73746f636b180773746f636b2d3315b8171506161815c4130015f001191c180573746f636b180773"
    "746f636b2d311302250600191c180573746f636b180773746f636b2d3217000000000000f83f160c"
    "15e0d4030015feff071100";

std::string to_hex(const std::string& bytes) {
    std::string text;
    for (const char it : bytes) {
        std::array<char, 3> buf{};
        std::snprintf(buf.data(), buf.size(), "%02x", static_cast<unsigned char>(it));
        text += buf.data();
    }
    return text;
}

std::string from_hex(const std::string& text) {
    std::string bytes;
    for (std::size_t i = 0; i < text.size(); i += 2) {
        bytes += static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16));
    }
    return bytes;
}

} // namespace

TEST_GROUP(codec) {
    manual_clock_source clock;
    codec plain{clock, ""};
    codec secured{clock, "a shared secret"};

    void setup() override {
        clock.advance(seconds(1'000));
        clock.set_wall(wall_time(seconds(1'700'000'000)));
    }

    message full_message() const {
        message out;
        out.kind = message_kind::gossip_reply;
        out.process = {1'699'999'999'000, 77};
        out.epoch = 3;
        out.leaving = true;
        out.config_version = 1'234;
        out.sequence = 9;
        out.echo = 8;
        out.domain = domain_name("rack-1");
        out.traffic_port = 65'535;
        out.cut_off = true;
        out.checks_keys = true;
        out.config_digest = 0xfedcba9876543210U;
        out.confirmed = clock.wall_now() - milliseconds{1'500};
        out.members.push_back({bob,
                               domain_name("rack-2"),
                               {1'699'999'998'000, 5},
                               2,
                               member_state::suspect,
                               65'535,
                               true,
                               true});
        out.verdicts.push_back(make_verdict(alice, "stock-1", 40, clock.now() + seconds(25)));
        out.marks.push_back({0xffffffffffffffffU, target_id("stock-2"), clock.wall_now()});
        auto evidence = make_evidence("stock-3", 12);
        evidence.reporter = alice;
        evidence.others_ratio = 1.25;
        out.evidence.push_back(evidence);
        return out;
    }
    drop_reason drop_reason_of(const codec& receiver, const std::string& bytes) const {
        const auto out = receiver.decode(bytes, alice, bob);
        CHECK_FALSE(out.has_value());
        return out ? drop_reason::duplicate : out.error();
    }
    // Encodes a Thrift message that the codec itself would not produce.
    static std::string encode_wire_message(const wire::Message& content) {
        using apache::thrift::protocol::TCompactProtocolT;
        using apache::thrift::transport::TMemoryBuffer;
        const auto buffer = std::make_shared<TMemoryBuffer>();
        TCompactProtocolT<TMemoryBuffer> protocol(buffer);
        content.write(&protocol);
        return std::string(1, '\0') + buffer->getBufferAsString();
    }
    static wire::Message minimal_message() {
        wire::Message out;
        out.protocol = protocol_number;
        out.started_ms = 1'699'999'999'000;
        out.sequence = 1;
        return out;
    }
};

// Guards against fields that are lost or swapped in the conversion to or from Thrift's types.
TEST(codec, decodes_what_was_encoded) {
    for (const auto* it : {&plain, &secured}) {
        const auto bytes = it->encode(full_message(), alice, bob);
        CHECK(bytes.has_value());
        const auto decoded = it->decode(*bytes, alice, bob);
        CHECK(decoded.has_value());
        CHECK(full_message() == *decoded);
    }
}

// Guards against credit that is asked or granted for another workspace, number or amount, and
// against values from another build that no seat has.
TEST(codec, sends_questions_about_credit_and_answers) {
    auto sent = full_message();
    sent.kind = message_kind::credit;
    quota::credit_ask ask{93, {0, 5}, {11}, {}};
    ask.requests = {{5, workspace_name("w1"), 7, 3, 0}, {0, workspace_name("w2"), 8, 0, 2}};
    sent.credit_ask = ask;
    sent.credit_grant = quota::credit_grant{{{7, 2, milliseconds(150)}, {8, 0, milliseconds(0)}}};
    const auto datagram = plain.encode(sent, alice, bob);
    CHECK(datagram.has_value());
    const auto received = plain.decode(*datagram, alice, bob);
    CHECK(received.has_value());
    CHECK(received->credit_ask == sent.credit_ask);
    CHECK(received->credit_grant == sent.credit_grant);

    sent.credit_ask->votes = {static_cast<quota::seat>(quota::seat_count)};
    sent.credit_ask->requests.front().of = static_cast<quota::seat>(quota::seat_count);
    const auto invalid = plain.decode(*plain.encode(sent, alice, bob), alice, bob);
    CHECK(invalid.has_value() && invalid->credit_ask->votes.empty());
    LONGS_EQUAL(1, invalid->credit_ask->requests.size());
}

// Guards against losing the process and the registration that a verdict is about.
TEST(codec, sends_what_a_verdict_is_about) {
    message content = full_message();
    content.verdicts.at(0).about = {1'700'000'000'123, health::any_registration};
    content.verdicts.push_back(make_verdict(alice, "stock-9", 41, clock.now() + seconds(25)));
    content.verdicts.back().about = {1'700'000'000'123, 412};
    content.verdicts.back().order = 413;
    const auto decoded = plain.decode(*plain.encode(content, alice, bob), alice, bob);
    CHECK(decoded.has_value());
    CHECK(content == *decoded);
}

// Guards against an expiry on the sender's clock. A receiver whose clock differs must keep a
// verdict for the remaining time, independent of the difference between the clocks.
TEST(codec, sends_expiry_as_remaining_time) {
    const auto bytes = plain.encode(full_message(), alice, bob);
    manual_clock_source other;
    other.advance(seconds(5'000));
    other.set_wall(wall_time(seconds(1'700'000'900)));
    const auto decoded = codec(other, "").decode(*bytes, alice, bob);
    CHECK(decoded.has_value());
    CHECK(decoded->verdicts.at(0).expires == other.now() + seconds(25));
    CHECK(decoded->marks.at(0).observed == other.wall_now());
}

// Guards against forged verdicts: a datagram made without the secret, with a changed byte, or
// replayed to or from another address must be dropped.
TEST(codec, drops_unauthentic_datagrams) {
    const auto bytes = *secured.encode(full_message(), alice, bob);
    CHECK(drop_reason_of(secured, *plain.encode(full_message(), alice, bob)) ==
          drop_reason::unauthentic);
    CHECK(drop_reason_of(plain, bytes) == drop_reason::unauthentic);
    CHECK(drop_reason_of(codec(clock, "another secret"), bytes) == drop_reason::unauthentic);
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        auto changed = bytes;
        changed[i] = static_cast<char>(changed[i] ^ 1);
        CHECK(drop_reason_of(secured, changed) == drop_reason::unauthentic);
    }
    CHECK_FALSE(secured.decode(bytes, bob, bob).has_value());
    CHECK_FALSE(secured.decode(bytes, alice, alice).has_value());
}

// Guards against a wrong HMAC that both sides compute alike but that differs from RFC 2104.
TEST(codec, authenticates_with_hmac_sha256) {
    message content;
    content.process = {1, 1};
    content.sequence = 1;
    const auto bytes = *secured.encode(content, alice, bob);
    // Computed with Python's hmac module.
    static constexpr std::array<unsigned char, 16> expected{0xae, 0xfd, 0x25, 0x41, 0xd6, 0x89,
                                                            0x25, 0x6e, 0xb4, 0x6c, 0x24, 0x1b,
                                                            0x6a, 0x01, 0x0e, 0x49};
    for (std::size_t i = 0; i < expected.size(); ++i) {
        BYTES_EQUAL(expected.at(i), static_cast<unsigned char>(bytes[bytes.size() - 16 + i]));
    }
}

// Guards against crashes and unlimited values: truncated datagrams are dropped, and randomly
// corrupted ones are dropped or decoded to values within the limits.
TEST(codec, handles_truncated_and_corrupted_datagrams) {
    const auto bytes = *plain.encode(full_message(), alice, bob);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK(drop_reason_of(plain, bytes.substr(0, n)) == drop_reason::malformed);
    }
    CHECK(drop_reason_of(plain, bytes + "x") == drop_reason::malformed);
    CHECK(drop_reason_of(plain, std::string(max_datagram_bytes + 1, '\0')) ==
          drop_reason::oversized);
    seeded_random_source random(4);
    for (int i = 0; i < 20'000; ++i) {
        auto changed = bytes;
        for (int k = 0; k < 3; ++k) {
            changed[1 + random.next_below(changed.size() - 1)] = static_cast<char>(random.next());
        }
        if (const auto out = plain.decode(changed, alice, bob)) {
            CHECK(out->epoch < 1U << 30U);
            CHECK(out->members.size() <= 256);
        }
    }
}

// Guards against a faulty peer that claims a start time far in the future or a huge epoch for a
// node, which would make every later message of that node look outdated.
TEST(codec, drops_future_start_times_and_huge_epochs) {
    auto content = full_message();
    content.process.started_ms += 7'200'000;
    CHECK(drop_reason_of(plain, *plain.encode(content, alice, bob)) == drop_reason::malformed);
    content = full_message();
    content.epoch = 1U << 30U;
    CHECK(drop_reason_of(plain, *plain.encode(content, alice, bob)) == drop_reason::malformed);
    content = full_message();
    content.members.at(0).process.started_ms += 7'200'000;
    const auto decoded = plain.decode(*plain.encode(content, alice, bob), alice, bob);
    CHECK(decoded.has_value());
    CHECK(decoded->members.empty());
}

// Guards against builds of two versions that can't communicate. Unknown fields and enumeration
// values must not make the rest of the message unusable; another protocol number must.
TEST(codec, accepts_messages_of_newer_builds) {
    auto bytes = encode_wire_message(minimal_message());
    CHECK(plain.decode(bytes, alice, bob).has_value());
    // Inserts field 17, a string, before the stop byte: 0x18 is "field number + 1, binary".
    bytes.insert(bytes.size() - 1, std::string("\x08\x22\x03new", 6));
    CHECK(plain.decode(bytes, alice, bob).has_value());
    auto content = minimal_message();
    wire::Member unknown;
    unknown.id = bob.value;
    unknown.started_ms = 1;
    unknown.state = 99;
    wire::Member known = unknown;
    known.state = 0;
    content.__set_members({unknown, known});
    UNSIGNED_LONGS_EQUAL(1, plain.decode(encode_wire_message(content), alice, bob)->members.size());
    content.protocol = protocol_number + 1;
    CHECK(drop_reason_of(plain, encode_wire_message(content)) == drop_reason::wrong_protocol);
}

// Guards against size bounds that are too low: a message filled according to them would not fit a
// datagram.
TEST(codec, encoded_sizes_stay_within_their_bounds) {
    auto content = full_message();
    content.config_version = content.sequence = content.echo = INT64_MAX;
    content.config_digest = UINT64_MAX;
    content.epoch = (1U << 30U) - 1;
    content.members.at(0).epoch = content.epoch;
    content.members.at(0).process.nonce = INT32_MAX;
    content.verdicts.at(0).sequence = INT64_MAX;
    content.verdicts.at(0).severity = -1e9;
    content.evidence.at(0).sequence = INT64_MAX;
    content.evidence.at(0).llr_sum = -1e9;
    content.evidence.at(0).answers = INT32_MAX;
    content.evidence.at(0).others_ratio = 1e9;
    content.marks.at(0).observed = wall_time{};
    auto empty = content;
    empty.members.clear();
    empty.verdicts.clear();
    empty.marks.clear();
    empty.evidence.clear();
    constexpr std::size_t list_header = 2;
    const auto header = secured.encode(empty, alice, bob)->size();
    CHECK(header + 4 * list_header <= header_size_bound + content.domain.value.size());
    const auto check = [&](auto message::*items) {
        auto one = empty;
        one.*items = content.*items;
        const auto size = secured.encode(one, alice, bob)->size() - header - list_header;
        CHECK(size <= size_bound((content.*items).at(0)));
    };
    check(&message::members);
    check(&message::verdicts);
    check(&message::marks);
    check(&message::evidence);
    content.members.resize(100, content.members.at(0));
    CHECK_FALSE(plain.encode(content, alice, bob).has_value());
}

// Guards against messages that the build which runs when an upgrade begins can't read, or the other
// way round: both run side by side while nodes are replaced.
TEST(codec, messages_stay_readable_beside_the_landed_build) {
    auto content = full_message();
    content.checks_keys = false; // The landed build doesn't have this field.
    content.members.at(0).checks_keys = false;
    content.reading = clock.now() - milliseconds(120);
    content.observations.push_back(
        {service_name("stock"), target_id("stock-1"), health::observation_kind::late, 3, alice});
    health::rate_limit limit;
    limit.service = service_name("stock");
    limit.target = target_id("stock-2");
    limit.per_second = 1.5;
    limit.sequence = 6;
    limit.expires = clock.now() + seconds(30);
    content.rate_limits.push_back(limit);
    const auto written = plain.encode(content, alice, bob);
    CHECK(written.has_value());
    STRCMP_EQUAL(landed_datagram.c_str(), to_hex(*written).c_str());
    const auto read = plain.decode(from_hex(landed_datagram), alice, bob);
    CHECK(read.has_value());
    CHECK(read->process == content.process);
    CHECK_FALSE(read->checks_keys || read->members.at(0).checks_keys);
    CHECK(read->reading == content.reading);
    CHECK(read->rate_limits == content.rate_limits);
    LONGS_EQUAL(1, read->members.size());
    LONGS_EQUAL(1, read->verdicts.size());
    LONGS_EQUAL(1, read->marks.size());
    LONGS_EQUAL(1, read->evidence.size());
    LONGS_EQUAL(1, read->observations.size());
    LONGS_EQUAL(3, read->observations.at(0).outstanding);
}
