#include "wigeonrill/peers.h"

#include "wigeonrill/src/peers/wire_conversion.h"

#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace wigeonrill::peers {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::transport::TMemoryBuffer;
using compact_protocol = apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer>;

// First byte of a datagram: whether an authentication code follows the payload.
constexpr char plain_frame = 0;
constexpr char authenticated_frame = 1;
constexpr std::size_t authentication_code_bytes = 16;
// Limit for the parser; one datagram can't hold this many items even if they are the shortest ones.
constexpr std::int32_t max_items = 256;

// HMACEngine reads two constants from its engine that Poco's SHA2Engine doesn't define.
class sha256_engine : public Poco::SHA2Engine {
public:
    enum { BLOCK_SIZE = 64, DIGEST_SIZE = 32 }; // NOLINT(readability-identifier-naming)
};

std::optional<wire::Message> parse(std::string_view payload) {
    try {
        std::string copy(payload); // TMemoryBuffer needs mutable bytes
        const auto size = static_cast<std::uint32_t>(copy.size());
        const auto limits = std::make_shared<TConfiguration>(static_cast<int>(max_datagram_bytes));
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
        auto* bytes = reinterpret_cast<std::uint8_t*>(copy.data());
        const auto buffer =
            std::make_shared<TMemoryBuffer>(bytes, size, TMemoryBuffer::OBSERVE, limits);
        compact_protocol protocol(buffer, static_cast<std::int32_t>(max_datagram_bytes), max_items);
        wire::Message out;
        out.read(&protocol);
        return buffer->available_read() == 0 ? std::optional(std::move(out)) : std::nullopt;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

bool equal_in_constant_time(std::string_view a, std::string_view b) {
    unsigned difference = a.size() == b.size() ? 0 : 1;
    for (std::size_t i = 0; i < std::min(a.size(), b.size()); ++i) {
        difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
    }
    return difference == 0;
}

} // namespace

codec::codec(const clock_source& clock, std::string secret)
    : clock_(clock), secret_(std::move(secret)) {}

result<std::string> codec::encode(const message& content, const node_id& from,
                                  const node_id& to) const {
    const auto buffer = std::make_shared<TMemoryBuffer>();
    compact_protocol protocol(buffer);
    detail::to_wire(content, clock_.now(), clock_.wall_now()).write(&protocol);
    const auto payload = buffer->getBufferAsString();
    std::string out;
    out.reserve(payload.size() + 1 + authentication_code_bytes);
    out += secret_.empty() ? plain_frame : authenticated_frame;
    out += payload;
    if (!secret_.empty()) {
        out += authentication_code(payload, from, to);
    }
    if (out.size() > max_datagram_bytes) {
        return failed(error_kind::invalid_input,
                      "peers: message is too large for a datagram: " + std::to_string(out.size()) +
                          " bytes for " + to.value,
                      "put fewer items into one message");
    }
    return out;
}

tl::expected<message, drop_reason> codec::decode(std::string_view datagram, const node_id& from,
                                                 const node_id& to) const {
    const auto drop = [](drop_reason reason) { return tl::unexpected<drop_reason>(reason); };
    if (datagram.size() > max_datagram_bytes) {
        return drop(drop_reason::oversized);
    }
    const auto trailer = secret_.empty() ? 0 : authentication_code_bytes;
    if (datagram.size() <= 1 + trailer) {
        return drop(drop_reason::malformed);
    }
    const char frame = secret_.empty() ? plain_frame : authenticated_frame;
    const auto payload = datagram.substr(1, datagram.size() - 1 - trailer);
    if (datagram.front() != frame ||
        (!secret_.empty() && !equal_in_constant_time(datagram.substr(datagram.size() - trailer),
                                                     authentication_code(payload, from, to)))) {
        return drop(drop_reason::unauthentic);
    }
    const auto parsed = parse(payload);
    if (!parsed) {
        return drop(drop_reason::malformed);
    }
    if (parsed->protocol != protocol_number) {
        return drop(drop_reason::wrong_protocol);
    }
    if (!detail::valid_header(*parsed, clock_.wall_now())) {
        return drop(drop_reason::malformed);
    }
    return detail::from_wire(*parsed, from, clock_.now(), clock_.wall_now());
}

std::string codec::authentication_code(std::string_view payload, const node_id& from,
                                       const node_id& to) const {
    Poco::HMACEngine<sha256_engine> engine(secret_);
    engine.update(from.value + "\n" + to.value + "\n");
    engine.update(payload.data(), payload.size());
    const auto& digest = engine.digest();
    return {digest.begin(), digest.begin() + authentication_code_bytes};
}

std::size_t size_bound(const member_record& item) {
    return 39 + item.id.value.size() + item.domain.value.size();
}

std::size_t size_bound(const health::verdict& item) {
    return 66 + item.service.value.size() + item.target.value.size() + item.judge.value.size();
}

std::size_t size_bound(const once::crash_mark& item) {
    return 21 + item.target.value.size();
}

std::size_t size_bound(const health::observation& item) {
    return 10 + item.service.value.size() + item.target.value.size();
}

std::size_t size_bound(const health::rate_limit& item) {
    return 32 + item.service.value.size() + item.target.value.size();
}

std::size_t size_bound(const health::evidence_report& item) {
    return 36 + item.service.value.size() + item.target.value.size();
}

} // namespace wigeonrill::peers
