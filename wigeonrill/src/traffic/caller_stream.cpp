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
        {"type", "/.wigeonrill/problems/" + reason.type},          {"title", reason.title},
        {"status", truthful_status(reason.status, reason.result)}, {"detail", reason.detail},
        {"outcome", enum_name(outcome_names, reason.result)},
    };
    // The detail may quote bytes of the request that are not UTF-8.
    return problem.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace

void add_connection_field(message_head& head, const caller_request* request, bool keep_alive) {
    if (!keep_alive) {
        head.add("Connection", "close");
    } else if (request != nullptr && request->head.minor_version == 0) {
        head.add("Connection", "keep-alive");
    }
}

std::optional<framing_fault> caller_stream::hold_body(caller_request& request) {
    const bool streams = request.length.value_or(0) > held_body_bytes;
    if (!request.body_complete && !streams) {
        send_continue(request);
        std::array<char, 4096> piece{};
        while (!request.body_complete && request.held.size() < held_body_bytes) {
            std::size_t n = 0;
            const auto room = std::min(piece.size(), held_body_bytes - request.held.size());
            const auto deadline = piece_deadline(request);
            if (auto fault = fault_of(reader_.read_body(piece.data(), room, n, deadline))) {
                return fault;
            }
            request.held.append(piece.data(), n);
            request.body_complete = reader_.check().done();
        }
    }
    request.info.body_replayable = request.body_complete;
    if (request.body_complete && !request.held.empty()) {
        request.info.body_digest = stable_hash(request.held);
        request.info.body_bytes = request.held.size();
    }
    return std::nullopt;
}

std::optional<framing_fault> caller_stream::read_piece(caller_request& request, char* out,
                                                       std::size_t room, std::size_t& n) {
    send_continue(request);
    const auto deadline = piece_deadline(request);
    const auto status = reader_.read_body(out, room, n, deadline);
    request.body_streamed = true;
    if (auto fault = fault_of(status)) {
        return fault;
    }
    request.body_complete = reader_.check().done();
    return std::nullopt;
}

instant caller_stream::piece_deadline(const caller_request& request) const {
    // The request's deadline bounds callers that send a byte now and then.
    return std::min(context_->clock->now() + context_->options.body_idle, request.info.deadline);
}

void caller_stream::send_continue(caller_request& request) {
    if (request.waits_for_continue) {
        request.waits_for_continue = false;
        send("HTTP/1.1 100 Continue\r\n\r\n", context_->options.body_idle);
    }
}

std::optional<framing_fault> caller_stream::fault_of(message_reader::status status) const {
    switch (status) {
    case message_reader::status::ok:
        return std::nullopt;
    case message_reader::status::faulty:
        return reader_.check().fault();
    case message_reader::status::timed_out:
        return framing_fault{408, "request-timeout", "The request did not arrive in time."};
    default:
        return framing_fault{400, "truncated", "The connection ended inside the request."};
    }
}

bool caller_stream::send(std::string_view bytes, milliseconds idle) {
    std::size_t sent = 0;
    return send_all(fd_, bytes, idle, *context_->clock, sent) == io_status::ok;
}

bool caller_stream::send_refusal(const refusal& reason, const caller_request* request,
                                 bool keep_alive) {
    const bool to_head = request != nullptr && request->info.method == "HEAD";
    const auto body = problem_text(reason);
    message_head head;
    head.status = truthful_status(reason.status, reason.result);
    head.reason = reason_phrase(head.status);
    head.add("Content-Type", "application/problem+json");
    head.add("Content-Length", std::to_string(body.size()));
    head.add("Wigeonrill-Outcome", std::string(enum_name(outcome_names, reason.result)));
    if (reason.retry_after) {
        head.add("Retry-After", std::to_string(reason.retry_after->count()));
    }
    head.add_via(context_->options.via);
    add_connection_field(head, request, keep_alive);
    return send(answer_text(head) + (to_head ? "" : body), context_->options.body_idle);
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
    return send(answer_text(head) + (with_body ? answer.body : ""), context_->options.body_idle);
}

bool caller_stream::send_interim(const message_head& head) {
    message_head interim = head;
    interim.remove_hop_by_hop();
    return send(answer_text(interim), context_->options.body_idle);
}

void caller_stream::abort() {
    aborted_ = true;
    const struct linger reset = {1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

void caller_stream::end_output() const {
    if (aborted_) {
        return;
    }
    constexpr milliseconds longest{1'000};
    constexpr int most_pieces = 256;
    ::shutdown(fd_, SHUT_WR);
    std::array<char, 4096> waste{};
    const auto deadline = context_->clock->now() + longest;
    for (int i = 0; i < most_pieces; ++i) {
        std::size_t n = 0;
        const auto status = receive_some(fd_, waste.data(), waste.size(), n);
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
