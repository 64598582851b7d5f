#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/caller_stream.h"

#include <Poco/Net/HTTPResponse.h>
#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

namespace wigeonrill::traffic::detail {

namespace {

std::string reason_phrase(int status) {
    using Poco::Net::HTTPResponse;
    return HTTPResponse::getReasonForStatus(static_cast<HTTPResponse::HTTPStatus>(status));
}

std::string problem_text(const refusal& reason) {
    const nlohmann::ordered_json problem{
        {"type", "/.wigeonrill/problems/" + reason.type},
        {"title", reason.title},
        {"status", status_for_outcome(reason.status, reason.result)},
        {"detail", reason.detail},
        {"outcome", enum_name(outcome_names, reason.result)},
    };
    // The detail may quote bytes of the request that are not UTF-8.
    return problem.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

// Returns the time in seconds, rounded up to whole ones unless callers understand decimals.
std::string retry_after_text(milliseconds time, const header_names& names) {
    constexpr std::int64_t unit = 1'000;
    const auto ms = std::max<std::int64_t>(time.count(), 0);
    if (!names.retry_after_has_decimals) {
        return std::to_string((ms + unit - 1) / unit);
    }
    const auto decimals = std::to_string(unit + ms % unit).substr(1);
    return std::to_string(ms / unit) + "." + decimals;
}

} // namespace

void add_connection_field(message_head& head, const caller_request* request, bool keep_alive) {
    if (!keep_alive) {
        head.add("Connection", "close");
    } else if (request != nullptr && request->head.minor_version == 0) {
        head.add("Connection", "keep-alive");
    }
}

std::optional<framing_fault> caller_stream::buffer_body(caller_request& request) {
    auto& body = request.buffered_body;
    std::size_t room = room_for_body(request);
    if (!request.body_complete && room > 0) {
        invite_body(request);
        body.reserve(std::min<std::uint64_t>(request.length.value_or(0), room));
    }
    std::array<char, 4096> piece{};
    while (!request.body_complete && body.size() < room) {
        std::size_t n = 0;
        const auto capacity = std::min(piece.size(), room - body.size());
        const auto deadline = body_read_deadline(request);
        if (auto fault = to_framing_fault(reader_.read_body(piece.data(), capacity, n, deadline))) {
            return fault;
        }
        body.append(piece.data(), n);
        request.body_complete = reader_.parser().done();
        if (body.size() == room) {
            room += more_room_for_body(request);
        }
    }
    request.info.body_replayable = request.body_complete;
    if (request.body_complete && !body.empty()) {
        request.info.body_digest = stable_hash(body);
        request.info.body_bytes = body.size();
    }
    return std::nullopt;
}

std::size_t caller_stream::room_for_body(caller_request& request) {
    const auto length = request.length.value_or(0);
    if (length <= own_body_bytes) {
        return own_body_bytes;
    }
    if (request.expects_continue) {
        return 0; // The caller sends a large body only after the decision about its request.
    }
    const bool fits =
        length <= max_buffered_body_bytes && request.large_body.grow(length - own_body_bytes);
    return fits ? static_cast<std::size_t>(length) : 0;
}

std::size_t caller_stream::more_room_for_body(caller_request& request) {
    const bool may_grow = !request.body_complete && !request.length &&
                          request.buffered_body.size() < max_buffered_body_bytes;
    return may_grow && request.large_body.grow(own_body_bytes) ? own_body_bytes : 0;
}

std::optional<framing_fault> caller_stream::read_body_piece(caller_request& request, char* out,
                                                            std::size_t capacity, std::size_t& n,
                                                            instant until) {
    const auto deadline = std::min(body_read_deadline(request), until);
    const auto status = reader_.read_body(out, capacity, n, deadline);
    request.body_streamed = true;
    if (auto fault = to_framing_fault(status)) {
        return fault;
    }
    request.body_complete = reader_.parser().done();
    return std::nullopt;
}

instant caller_stream::body_read_deadline(const caller_request& request) const {
    // The deadline of the request also limits callers that send a few bytes at a time.
    return std::min(context_->clock->now() + context_->options.body_idle, request.info.deadline);
}

void caller_stream::invite_body(caller_request& request) {
    if (request.expects_continue) {
        request.expects_continue = false;
        send("HTTP/1.1 100 Continue\r\n\r\n", {context_->options.body_idle, request.info.deadline});
    }
}

std::optional<framing_fault> caller_stream::to_framing_fault(message_reader::status status) const {
    switch (status) {
    case message_reader::status::ok:
        return std::nullopt;
    case message_reader::status::faulty:
        return reader_.parser().fault();
    case message_reader::status::timed_out:
        return framing_fault{408, "request-timeout", "The request did not arrive in time."};
    default:
        return framing_fault{400, "truncated", "The connection ended inside the request."};
    }
}

bool caller_stream::has_left() const {
    return closed_by_peer(fd_);
}

bool caller_stream::send(std::string_view bytes, const send_limits& limits) {
    std::size_t sent = 0;
    return send_all(fd_, bytes, limits, *context_->clock, sent) == io_status::ok;
}

bool caller_stream::send_refusal(const refusal& reason, const caller_request* request,
                                 bool keep_alive) {
    const bool is_head_request = request != nullptr && request->info.method == "HEAD";
    const auto body = problem_text(reason);
    message_head head;
    head.status = status_for_outcome(reason.status, reason.result);
    head.reason = reason_phrase(head.status);
    head.add("Content-Type", "application/problem+json");
    head.add("Content-Length", std::to_string(body.size()));
    head.add("Wigeonrill-Outcome", std::string(enum_name(outcome_names, reason.result)));
    if (reason.retry_after) {
        head.add("Retry-After", retry_after_text(*reason.retry_after, context_->options.names));
    }
    if (head.status == 401) {
        head.add("WWW-Authenticate", "Bearer");
    }
    head.add_via(context_->options.via);
    add_connection_field(head, request, keep_alive);
    return send(serialize_answer(head) + (is_head_request ? "" : body),
                {context_->options.body_idle});
}

bool caller_stream::send_stored(const stored_answer& answer, const caller_request& request,
                                bool keep_alive) {
    message_head head;
    head.status = answer.status;
    head.reason = reason_phrase(answer.status);
    head.fields = answer.headers;
    head.remove_hop_by_hop();
    head.remove("Transfer-Encoding");
    const bool bodyless = answer.status == 204 || answer.status == 304;
    if (!bodyless) {
        head.set("Content-Length", std::to_string(answer.body.size()));
    }
    head.add_via(context_->options.via);
    add_connection_field(head, &request, keep_alive);
    const bool with_body = !bodyless && request.info.method != "HEAD";
    return send(serialize_answer(head) + (with_body ? answer.body : ""),
                {context_->options.body_idle});
}

bool caller_stream::send_interim(const message_head& head, instant until) {
    message_head interim = head;
    interim.remove_hop_by_hop();
    // An interim answer has no body (RFC 9110 section 15.2), and only nodes may state an outcome.
    for (const char* field : {"Content-Length", "Transfer-Encoding", "Wigeonrill-Outcome"}) {
        interim.remove(field);
    }
    return send(serialize_answer(interim), {context_->options.body_idle, until});
}

void caller_stream::abort() {
    aborted_ = true;
    const struct linger reset = {1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

void caller_stream::shutdown_output() const {
    if (aborted_) {
        return;
    }
    constexpr milliseconds max_wait{1'000};
    constexpr int max_discarded_reads = 256;
    ::shutdown(fd_, SHUT_WR);
    std::array<char, 4096> discarded{};
    const auto deadline = context_->clock->now() + max_wait;
    for (int i = 0; i < max_discarded_reads; ++i) {
        std::size_t n = 0;
        const auto status = receive_some(fd_, discarded.data(), discarded.size(), n);
        if (status == io_status::timed_out) {
            if (wait_readable(fd_, deadline, *context_->clock) != io_status::ok) {
                return;
            }
        } else if (status != io_status::ok) {
            return;
        }
    }
}

} // namespace wigeonrill::traffic::detail
