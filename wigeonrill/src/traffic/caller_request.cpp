#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/caller_request.h"
#include "wigeonrill/src/traffic/request_target.h"

#include <algorithm>
#include <charconv>

namespace wigeonrill::traffic::detail {

namespace {

tl::unexpected<framing_fault> refuse(int status, const char* type, std::string text) {
    return tl::unexpected<framing_fault>(framing_fault{status, type, std::move(text)});
}

/// Lowers the limit to the time that the caller allows in the given header. Returns false when the
/// header is not a single number.
bool parse_timeout(const message_head& head, const std::string& name, milliseconds& limit) {
    const auto text = head.value(name);
    if (head.count(name) == 0) {
        return true;
    }
    std::uint32_t ms = 0;
    const auto* last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, ms);
    if (ec != std::errc{} || end != last || head.count(name) != 1) {
        return false;
    }
    limit = std::min(limit, milliseconds{ms});
    return true;
}

/// Returns the digest of the API key in the Authorization field; nothing without exactly one such
/// field with the scheme Bearer.
std::optional<config::key_digest> read_api_key(const message_head& head) {
    constexpr std::string_view scheme = "Bearer ";
    const auto text = head.value("Authorization");
    if (head.count("Authorization") != 1 || text.size() <= scheme.size() ||
        !equal_ignoring_case(text.substr(0, scheme.size()), scheme)) {
        return std::nullopt;
    }
    return config::digest_of_key(text.substr(scheme.size()));
}

request_sender sender_of(const message_head& head, const std::string& ip,
                         const server_options& options) {
    if (head.count(from_node_field) == 0) {
        return request_sender::caller;
    }
    return options.identify_node ? options.identify_node(ip) : request_sender::unknown_node;
}

} // namespace

tl::expected<caller_request, framing_fault> make_caller_request(const message_parser& parser,
                                                                const std::string& caller,
                                                                server_context& context) {
    caller_request request;
    request.head = parser.head();
    auto& head = request.head;
    auto target = parse_request_target(head);
    if (!target) {
        return tl::unexpected<framing_fault>(std::move(target.error()));
    }
    if (head.count("Idempotency-Key") > 1 || head.count("Workspace") > 1) {
        return refuse(400, "bad-key", "Idempotency-Key and Workspace may be given only once.");
    }
    milliseconds limit = context.options.request_time;
    const auto& names = context.options.names;
    if (!parse_timeout(head, names.deadline, limit)) {
        return refuse(400, "bad-timeout", names.deadline + " must be one number, once.");
    }
    if (head.count("Expect") > 0 && !equal_ignoring_case(head.value("Expect"), "100-continue")) {
        return refuse(417, "expectation", "The only known expectation is 100-continue.");
    }
    request.large_body = body_reservation(context.large_bodies);
    request.length = parser.content_length();
    request.chunked = parser.chunked();
    request.body_complete = parser.done();
    request.keep_alive = parser.keep_alive();
    request.expects_continue = head.count("Expect") > 0 && head.minor_version > 0;
    auto& info = request.info;
    info.id = context.next_id.fetch_add(1);
    info.name = names.request_id.empty() ? "" : head.value(names.request_id);
    info.method = head.method;
    info.host = std::move(target->host);
    info.path = std::move(target->path);
    info.query = std::move(target->query);
    info.workspace = head.value(names.workspace);
    info.api_key = read_api_key(head);
    info.idempotency_key = head.value("Idempotency-Key");
    info.caller = caller;
    info.body_bytes = request.chunked ? 0 : request.length.value_or(0);
    info.sender = sender_of(head, caller, context.options);
    const bool is_known_node =
        info.sender == request_sender::node || info.sender == request_sender::vouching_node;
    if (is_known_node && head.count(caller_field) == 1) {
        info.caller = head.value(caller_field);
    }
    info.arrived = context.clock->now();
    info.deadline = info.arrived + limit;
    head.remove(from_node_field);
    head.remove(caller_field);
    return request;
}

} // namespace wigeonrill::traffic::detail
