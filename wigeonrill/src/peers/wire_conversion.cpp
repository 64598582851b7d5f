#include "wigeonrill/peers.h"

#include "wigeonrill/src/peers/wire_conversion.h"

#include <cmath>
#include <limits>

namespace wigeonrill::peers {

namespace {

using detail::valid_name;

std::int32_t to_milli(double value) {
    constexpr double limit = std::numeric_limits<std::int32_t>::max();
    return static_cast<std::int32_t>(std::lround(std::clamp(value * 1000, -limit, limit)));
}

template <typename Duration>
std::int32_t to_milliseconds(Duration span) {
    const auto count = std::chrono::duration_cast<milliseconds>(span).count();
    return static_cast<std::int32_t>(
        std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::int32_t>::max()));
}

// Limits on incarnations and epochs. A faulty peer that sends a larger value for a node would make
// all later incarnations or epochs of that node look outdated.
constexpr std::int32_t max_epoch = 1 << 30;
constexpr std::chrono::hours max_clock_error{1};

bool valid_process(std::int64_t started_ms, std::int32_t nonce, std::int32_t epoch,
                   wall_time wall_now) {
    const auto latest = wall_now + max_clock_error;
    return started_ms >= 0 && nonce >= 0 && epoch >= 0 && epoch < max_epoch &&
           started_ms <=
               std::chrono::duration_cast<milliseconds>(latest.time_since_epoch()).count();
}

// Sets the optional fields that a member's record and the header of its messages share.
template <typename Wire, typename Item>
void fill_reachability(Wire& out, const Item& item) {
    if (item.traffic_port != 0) {
        out.__set_traffic_port(item.traffic_port);
    }
    if (item.cut_off) {
        out.__set_cut_off(true);
    }
    if (item.checks_keys) {
        out.__set_checks_keys(true);
    }
}

// Returns 0 for a value that is no port.
std::uint16_t port_from_wire(std::int32_t value) {
    const bool valid = value > 0 && value <= std::numeric_limits<std::uint16_t>::max();
    return valid ? static_cast<std::uint16_t>(value) : std::uint16_t{0};
}

wire::Member to_wire(const member_record& item) {
    wire::Member out;
    out.id = item.id.value;
    out.domain = item.domain.value;
    out.started_ms = static_cast<std::int64_t>(item.process.started_ms);
    out.nonce = static_cast<std::int32_t>(item.process.nonce);
    out.epoch = static_cast<std::int32_t>(item.epoch);
    out.state = static_cast<std::int8_t>(item.state);
    fill_reachability(out, item);
    return out;
}

wire::Verdict to_wire(const health::verdict& item, instant now) {
    wire::Verdict out;
    out.service_name = item.service.value;
    out.target_name = item.target.value;
    out.state = static_cast<std::int8_t>(item.state);
    out.severity_milli = to_milli(item.severity);
    out.judge = item.judge.value;
    out.sequence = static_cast<std::int64_t>(item.sequence);
    out.remaining_ms = to_milliseconds(item.expires - now);
    if (item.about.started_ms != 0) {
        out.__set_started_ms(static_cast<std::int64_t>(item.about.started_ms));
    }
    if (item.about.created != health::any_registration) {
        out.__set_created(static_cast<std::int64_t>(item.about.created));
    }
    if (item.order != health::last_order) {
        out.__set_order(static_cast<std::int64_t>(item.order));
    }
    return out;
}

wire::CrashMark to_wire(const once::crash_mark& item, wall_time now) {
    wire::CrashMark out;
    out.fingerprint = static_cast<std::int64_t>(item.fingerprint);
    out.target_name = item.target.value;
    out.age_ms = to_milliseconds(now - item.observed);
    return out;
}

wire::Evidence to_wire(const health::evidence_report& item) {
    wire::Evidence out;
    out.service_name = item.service.value;
    out.target_name = item.target.value;
    out.llr_milli = to_milli(item.llr_sum);
    out.answers = static_cast<std::int32_t>(item.answers);
    if (item.others_ratio > 0.0) {
        out.__set_others_ratio_milli(to_milli(item.others_ratio));
    }
    out.sequence = static_cast<std::int64_t>(item.sequence);
    return out;
}

wire::Observation to_wire(const health::observation& item) {
    wire::Observation out;
    out.service_name = item.service.value;
    out.target_name = item.target.value;
    out.kind = static_cast<std::int8_t>(item.kind);
    if (item.outstanding >= 0) {
        out.__set_outstanding(item.outstanding);
    }
    return out;
}

wire::RateLimit to_wire(const health::rate_limit& item, instant now) {
    wire::RateLimit out;
    out.service_name = item.service.value;
    out.target_name = item.target.value;
    if (item.per_second) {
        out.__set_per_second(*item.per_second);
    }
    out.sequence = static_cast<std::int64_t>(item.sequence);
    out.remaining_ms = to_milliseconds(item.expires - now);
    return out;
}

void fill_header(wire::Message& out, const message& content) {
    out.protocol = protocol_number;
    out.kind = static_cast<std::int8_t>(content.kind);
    out.started_ms = static_cast<std::int64_t>(content.process.started_ms);
    out.nonce = static_cast<std::int32_t>(content.process.nonce);
    out.epoch = static_cast<std::int32_t>(content.epoch);
    out.config_version = static_cast<std::int64_t>(content.config_version);
    out.sequence = static_cast<std::int64_t>(content.sequence);
    out.echo = static_cast<std::int64_t>(content.echo);
    if (content.leaving) {
        out.__set_leaving(true);
    }
    if (!content.domain.value.empty()) {
        out.__set_domain(content.domain.value);
    }
    fill_reachability(out, content);
    if (content.config_digest != 0) {
        out.__set_config_digest(static_cast<std::int64_t>(content.config_digest));
    }
    if (content.confirmed) {
        out.__set_confirmed_ms(
            std::chrono::duration_cast<milliseconds>(content.confirmed->time_since_epoch())
                .count());
    }
}

// Converts all items and returns whether there are any.
template <typename Items, typename WireItems, typename Convert>
bool convert_all(const Items& items, WireItems& out, const Convert& convert) {
    for (const auto& it : items) {
        out.push_back(convert(it));
    }
    return !out.empty();
}

std::optional<member_record> from_wire(const wire::Member& item, wall_time wall_now) {
    const bool known_state = item.state >= 0 &&
                             item.state <= static_cast<int>(member_state::dead) &&
                             item.state != static_cast<int>(member_state::one_way);
    if (!valid_name(item.id) || item.domain.size() > detail::max_name_bytes || !known_state ||
        !valid_process(item.started_ms, item.nonce, item.epoch, wall_now)) {
        return std::nullopt;
    }
    return member_record{node_id(item.id),
                         domain_name(item.domain),
                         incarnation{static_cast<std::uint64_t>(item.started_ms),
                                     static_cast<std::uint32_t>(item.nonce)},
                         static_cast<std::uint32_t>(item.epoch),
                         static_cast<member_state>(item.state),
                         port_from_wire(item.traffic_port),
                         item.cut_off,
                         item.checks_keys};
}

std::optional<health::verdict> from_wire(const wire::Verdict& item, instant now) {
    const bool known_state =
        item.state >= 0 && item.state <= static_cast<int>(health::target_state::leaving);
    if (!valid_name(item.target_name) || !valid_name(item.service_name) ||
        !valid_name(item.judge) || !known_state || item.remaining_ms <= 0 || item.sequence < 0 ||
        item.started_ms < 0 || item.created < 0 || item.order < 0) {
        return std::nullopt;
    }
    health::verdict out;
    out.service = service_name(item.service_name);
    out.target = target_id(item.target_name);
    out.state = static_cast<health::target_state>(item.state);
    out.severity = item.severity_milli / 1000.0;
    out.judge = node_id(item.judge);
    out.sequence = static_cast<std::uint64_t>(item.sequence);
    out.expires = now + milliseconds(item.remaining_ms);
    out.about.started_ms = static_cast<std::uint64_t>(item.started_ms);
    if (item.__isset.created) {
        out.about.created = static_cast<std::uint64_t>(item.created);
    }
    if (item.__isset.order) {
        out.order = static_cast<std::uint64_t>(item.order);
    }
    return out;
}

std::optional<once::crash_mark> from_wire(const wire::CrashMark& item, wall_time now) {
    if (!valid_name(item.target_name) || item.age_ms < 0) {
        return std::nullopt;
    }
    return once::crash_mark{static_cast<std::uint64_t>(item.fingerprint),
                            target_id(item.target_name), now - milliseconds(item.age_ms)};
}

std::optional<health::evidence_report> from_wire(const wire::Evidence& item, const node_id& from) {
    if (!valid_name(item.target_name) || !valid_name(item.service_name) || item.answers < 0 ||
        item.sequence < 0) {
        return std::nullopt;
    }
    health::evidence_report out;
    out.reporter = from;
    out.service = service_name(item.service_name);
    out.target = target_id(item.target_name);
    out.llr_sum = item.llr_milli / 1000.0;
    out.answers = static_cast<std::uint32_t>(item.answers);
    out.others_ratio =
        item.__isset.others_ratio_milli ? std::max(0, item.others_ratio_milli) / 1000.0 : 0.0;
    out.sequence = static_cast<std::uint64_t>(item.sequence);
    return out;
}

std::optional<health::observation> from_wire(const wire::Observation& item, const node_id& from) {
    const bool known_kind =
        item.kind >= 0 && item.kind <= static_cast<int>(health::observation_kind::load_only);
    if (!valid_name(item.target_name) || !valid_name(item.service_name) || !known_kind) {
        return std::nullopt;
    }
    return health::observation{service_name(item.service_name), target_id(item.target_name),
                               static_cast<health::observation_kind>(item.kind),
                               item.__isset.outstanding ? std::max(item.outstanding, -1) : -1,
                               from};
}

std::optional<health::rate_limit> from_wire(const wire::RateLimit& item, instant now) {
    const bool valid_rate =
        !item.__isset.per_second || (std::isfinite(item.per_second) && item.per_second >= 0.0);
    if (!valid_name(item.target_name) || !valid_name(item.service_name) || !valid_rate ||
        item.sequence < 0 || item.remaining_ms <= 0) {
        return std::nullopt;
    }
    return health::rate_limit{
        service_name(item.service_name), target_id(item.target_name),
        item.__isset.per_second ? std::optional(item.per_second) : std::nullopt,
        static_cast<std::uint64_t>(item.sequence), now + milliseconds(item.remaining_ms)};
}

// Converts the items of a message and leaves out those with values that this build doesn't know.
template <typename WireItems, typename Items, typename Convert>
void convert_valid(const WireItems& items, Items& out, const Convert& convert) {
    for (const auto& it : items) {
        if (auto item = convert(it)) {
            out.push_back(std::move(*item));
        }
    }
}

} // namespace

wire::Message detail::to_wire(const message& content, instant now, wall_time wall_now) {
    wire::Message out;
    fill_header(out, content);
    out.__isset.members = convert_all(content.members, out.members,
                                      [](const auto& it) { return peers::to_wire(it); });
    out.__isset.verdicts = convert_all(content.verdicts, out.verdicts,
                                       [&](const auto& it) { return peers::to_wire(it, now); });
    out.__isset.crash_marks = convert_all(content.marks, out.crash_marks, [&](const auto& it) {
        return peers::to_wire(it, wall_now);
    });
    out.__isset.rate_limits = convert_all(content.rate_limits, out.rate_limits,
                                          [&](const auto& it) { return peers::to_wire(it, now); });
    out.__isset.evidence = convert_all(content.evidence, out.evidence,
                                       [](const auto& it) { return peers::to_wire(it); });
    out.__isset.observations = convert_all(content.observations, out.observations,
                                           [](const auto& it) { return peers::to_wire(it); });
    if (content.reading) {
        out.__set_reading_age_ms(to_milliseconds(now - *content.reading));
    }
    if (content.credit_ask) {
        out.__set_credit_ask(to_wire(*content.credit_ask));
    }
    if (content.credit_grant) {
        out.__set_credit_grant(to_wire(*content.credit_grant));
    }
    return out;
}

bool detail::valid_header(const wire::Message& in, wall_time wall_now) {
    return in.kind >= 0 && in.kind <= static_cast<int>(message_kind::credit) && in.started_ms > 0 &&
           valid_process(in.started_ms, in.nonce, in.epoch, wall_now) && in.config_version >= 0 &&
           in.sequence > 0 && in.echo >= 0 && in.domain.size() <= detail::max_name_bytes &&
           in.confirmed_ms >= 0 && in.reading_age_ms >= 0;
}

message detail::from_wire(const wire::Message& in, const node_id& from, instant now,
                          wall_time wall_now) {
    message out;
    out.kind = static_cast<message_kind>(in.kind);
    out.process = {static_cast<std::uint64_t>(in.started_ms), static_cast<std::uint32_t>(in.nonce)};
    out.epoch = static_cast<std::uint32_t>(in.epoch);
    out.leaving = in.__isset.leaving && in.leaving;
    out.config_version = static_cast<std::uint64_t>(in.config_version);
    out.sequence = static_cast<std::uint64_t>(in.sequence);
    out.echo = static_cast<std::uint64_t>(in.echo);
    out.domain = domain_name(in.domain);
    out.traffic_port = port_from_wire(in.traffic_port);
    out.cut_off = in.cut_off;
    out.checks_keys = in.checks_keys;
    out.config_digest = static_cast<std::uint64_t>(in.config_digest);
    if (in.__isset.confirmed_ms) {
        const auto latest =
            std::chrono::duration_cast<milliseconds>(wall_now.time_since_epoch()).count();
        out.confirmed = wall_time(milliseconds(std::min(in.confirmed_ms, latest)));
    }
    convert_valid(in.members, out.members,
                  [&](const auto& it) { return peers::from_wire(it, wall_now); });
    convert_valid(in.verdicts, out.verdicts,
                  [&](const auto& it) { return peers::from_wire(it, now); });
    convert_valid(in.crash_marks, out.marks,
                  [&](const auto& it) { return peers::from_wire(it, wall_now); });
    convert_valid(in.evidence, out.evidence,
                  [&](const auto& it) { return peers::from_wire(it, from); });
    convert_valid(in.rate_limits, out.rate_limits,
                  [&](const auto& it) { return peers::from_wire(it, now); });
    convert_valid(in.observations, out.observations,
                  [&](const auto& it) { return peers::from_wire(it, from); });
    if (in.__isset.credit_ask) {
        out.credit_ask = credit_ask_from_wire(in.credit_ask);
    }
    if (in.__isset.credit_grant) {
        out.credit_grant = credit_grant_from_wire(in.credit_grant);
    }
    if (in.__isset.reading_age_ms) {
        out.reading = now - milliseconds(in.reading_age_ms);
    }
    return out;
}

} // namespace wigeonrill::peers
