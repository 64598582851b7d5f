#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/exchange.h"

#include <array>

namespace wigeonrill::traffic::detail {

namespace {

using health::answer_kind;

/// Largest answer body that is stored for an idempotency key.
constexpr std::size_t max_stored_body_bytes = 65'536;

bool has_no_body(const caller_request& request, int status) {
    return request.info.method == "HEAD" || status == 204 || status == 304;
}

std::shared_ptr<stored_answer> make_stored_answer(const message_head& head) {
    auto stored = std::make_shared<stored_answer>();
    stored->status = head.status;
    auto kept = head;
    kept.remove("Content-Length");
    kept.remove("Transfer-Encoding");
    // The node that replays the answer adds its own Via field.
    kept.remove("Via");
    kept.add("Idempotency-Replayed", "true");
    stored->headers = std::move(kept.fields);
    return stored;
}

} // namespace

refusal make_refusal(const framing_fault& fault, outcome result) {
    return {fault.status, fault.type, "The request was refused", fault.detail, result, {}};
}

bool exchange::run() {
    request_->info.watch = caller_;
    std::optional<step> next = context_->decisions->first_step(request_->info);
    try {
        while (next) {
            const step plan = std::move(*next);
            next = perform_step(plan);
        }
    } catch (...) {
        // Frees the slot of the request. The server closes the connection after the exception.
        context_->decisions->finish_request(request_->info, false, nullptr);
        throw;
    }
    context_->decisions->finish_request(request_->info, answer_completed_, std::move(stored_));
    return keep_connection_;
}

bool exchange::can_keep_connection() const {
    // The caller of a request that has arrived already can't know whether it ran, so a server that
    // drains answers it, too.
    const bool is_last = context_->draining.load() && !caller_->reader().has_unread_bytes() &&
                         !has_input(caller_->fd());
    return request_->keep_alive && request_->body_complete && !is_last;
}

std::optional<step> exchange::perform_step(const step& plan) {
    switch (plan.kind) {
    case step_kind::refuse:
        refuse(plan.reason);
        return std::nullopt;
    case step_kind::replay:
        keep_connection_ = can_keep_connection();
        answer_completed_ = caller_->send_stored(*plan.answer, *request_, keep_connection_);
        keep_connection_ = keep_connection_ && answer_completed_;
        return std::nullopt;
    default:
        return attempt(plan);
    }
}

std::optional<step> exchange::attempt(const step& plan) {
    if (request_->info.body_bytes > plan.route.max_body_bytes) {
        refuse({413, "body-too-large", "The request was refused", "The body exceeds the limit.",
                may_have_run_ ? outcome::unknown : outcome::not_run, std::nullopt});
        return std::nullopt;
    }
    if (request_->body_streamed) {
        // A part of the body is no longer in memory, so the request can't be sent completely again.
        refuse({503, "body-not-repeatable", "The request can't be sent to another target",
                "The body was too large to be held in memory. Send the request again.",
                may_have_run_ ? outcome::unknown : outcome::not_run, seconds{1}});
        return std::nullopt;
    }
    if (plan.verified_workspace) {
        request_->info.workspace = *plan.verified_workspace;
    }
    target_attempt current_attempt(*context_, *caller_, *request_, plan);
    current_attempt.run();
    record_attempt(current_attempt.result());
    auto next = context_->decisions->on_attempt_ended(request_->info, current_attempt.result());
    if (current_attempt.caller_disconnected()) {
        caller_->abort();
        return std::nullopt;
    }
    if (current_attempt.caller_fault()) {
        refuse(make_refusal(*current_attempt.caller_fault(),
                            may_have_run_ ? outcome::unknown : outcome::not_run));
        return std::nullopt;
    }
    if (next) {
        current_attempt.release();
        return next;
    }
    if (current_attempt.answered()) {
        send_answer(current_attempt, plan);
    } else {
        refuse(refusal_for_failure(current_attempt.result()));
    }
    return std::nullopt;
}

void exchange::record_attempt(const attempt_result& result) {
    const bool stated_not_run =
        result.kind == answer_kind::shed || result.node_refusal == outcome::not_run;
    may_have_run_ = may_have_run_ || (result.request_bytes_sent && !stated_not_run);
    if (result.kind != answer_kind::ok && result.kind != answer_kind::server_error) {
        const auto& name = request_->info.name;
        context_->log("request " + std::to_string(request_->info.id) +
                      (name.empty() ? "" : " id=" + name) + ": attempt ended " +
                      std::string(enum_name(health::answer_kind_names, result.kind)));
    }
}

refusal exchange::refusal_for_failure(const attempt_result& result) const {
    const auto known = may_have_run_ ? outcome::unknown : outcome::not_run;
    switch (result.kind) {
    case answer_kind::connect_failed:
        return {503,
                "target-unreachable",
                "No target can be reached",
                "The connection to the target failed.",
                known,
                seconds{1}};
    case answer_kind::silent:
        return {504,
                "target-silent",
                "The target did not answer",
                "The target sent no answer in time.",
                known,
                std::nullopt};
    case answer_kind::cancelled:
        return {504,   "deadline",  "The deadline passed", "The request's deadline passed.",
                known, std::nullopt};
    default:
        return {502,   "target-failed", "The target failed", "The target sent no valid answer.",
                known, std::nullopt};
    }
}

void exchange::refuse(const refusal& reason) {
    keep_connection_ = can_keep_connection();
    answer_completed_ = caller_->send_refusal(reason, request_, keep_connection_);
    keep_connection_ = keep_connection_ && answer_completed_;
}

message_head exchange::answer_head(const target_attempt& attempt, const step& plan) {
    auto head = attempt.head();
    head.remove_hop_by_hop();
    head.remove("Transfer-Encoding");
    if (plan.kind == step_kind::send) {
        head.remove("Wigeonrill-Outcome"); // Only nodes may set this field.
    }
    head.add_via(context_->options.via);
    if (plan.store_answer) {
        stored_ = make_stored_answer(head);
    }
    keep_connection_ = can_keep_connection();
    if (head.status == 204) {
        head.remove("Content-Length");
    } else if (!has_no_body(*request_, head.status)) {
        if (attempt.buffered_body()) {
            head.set("Content-Length", std::to_string(attempt.buffered_body()->size()));
        } else if (!attempt.content_length()) {
            chunked_ = request_->head.minor_version > 0;
            keep_connection_ =
                keep_connection_ && chunked_; // In HTTP/1.0, closing the connection ends the body.
        }
    }
    if (chunked_) {
        head.add("Transfer-Encoding", "chunked");
    }
    add_connection_field(head, request_, keep_connection_);
    return head;
}

void exchange::send_answer(target_attempt& attempt, const step& plan) {
    const auto head = serialize_answer(answer_head(attempt, plan));
    const auto idle = plan.route.limits.body_idle;
    if (attempt.buffered_body()) {
        if (stored_) {
            stored_->body = *attempt.buffered_body();
        }
        // Another request can use the connection while this answer is being sent.
        attempt.release();
        answer_completed_ = caller_->send(head + *attempt.buffered_body(), {idle});
    } else {
        answer_completed_ = send_answer_body(attempt, plan, head);
        attempt.release();
    }
    keep_connection_ = keep_connection_ && answer_completed_;
}

bool exchange::send_answer_body(target_attempt& attempt, const step& plan, std::string head) {
    std::array<char, transfer_buffer_bytes> piece{};
    std::string pending = std::move(head);
    for (;;) {
        std::size_t n = 0;
        if (!attempt.read_body_piece(piece.data(), piece.size(), n)) {
            on_answer_truncated(attempt);
            return false;
        }
        const std::string_view body(piece.data(), n);
        if (stored_ && stored_->body.size() + n <= max_stored_body_bytes) {
            stored_->body.append(body);
        } else if (n > 0) {
            stored_.reset();
        }
        if (!chunked_) {
            pending += body;
        } else if (n > 0) {
            append_chunk(pending, body);
        } else {
            pending += "0\r\n\r\n";
        }
        if (!send_body_piece(attempt, plan, pending)) {
            stored_.reset();
            caller_->abort();
            return false;
        }
        if (n == 0) {
            return true;
        }
        pending.clear();
    }
}

bool exchange::send_body_piece(target_attempt& attempt, const step& plan, std::string_view piece) {
    const auto idle = plan.route.limits.body_idle;
    if (!attempt.content_length()) {
        return caller_->send(piece, {idle, attempt.answer_until()});
    }
    const auto begin = context_->clock->now();
    const bool sent = caller_->send(piece, {idle});
    attempt.exclude_wait_for_caller(context_->clock->now() - begin);
    return sent;
}

void exchange::on_answer_truncated(target_attempt& attempt) {
    stored_.reset();
    caller_->abort();
    auto result = attempt.result();
    result.answer_partly_sent = true;
    record_attempt(result);
    // The returned step is ignored, because a part of this answer was already sent to the caller.
    static_cast<void>(context_->decisions->on_attempt_ended(request_->info, result));
}

} // namespace wigeonrill::traffic::detail
