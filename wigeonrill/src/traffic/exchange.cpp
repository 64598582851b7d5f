#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/exchange.h"

#include <array>

namespace wigeonrill::traffic::detail {

namespace {

using health::answer_kind;

/// Bodies up to this size are kept for a repeated idempotency key.
constexpr std::size_t stored_body_bytes = 65'536;

bool has_no_body(const caller_request& request, int status) {
    return request.info.method == "HEAD" || status == 204 || status == 304;
}

std::shared_ptr<stored_answer> begin_stored(const message_head& head) {
    auto stored = std::make_shared<stored_answer>();
    stored->status = head.status;
    auto kept = head;
    kept.remove("Content-Length");
    kept.remove("Transfer-Encoding");
    // The node that replays the answer adds its own Via.
    kept.remove("Via");
    kept.add("Idempotency-Replayed", "true");
    stored->headers = std::move(kept.fields);
    return stored;
}

} // namespace

refusal refusal_of(const framing_fault& fault, outcome result) {
    return {fault.status, fault.type, "The request was refused", fault.detail, result, {}};
}

bool exchange::run() {
    std::optional<step> next = context_->decisions->first_step(request_->info);
    try {
        while (next) {
            const step plan = std::move(*next);
            next = carry_out(plan);
        }
    } catch (...) {
        // The slot is freed in any case; the server closes the connection.
        context_->decisions->finish_request(request_->info, false, nullptr);
        throw;
    }
    context_->decisions->finish_request(request_->info, whole_, std::move(stored_));
    return keep_;
}

bool exchange::keeps_connection() const {
    return request_->keep_alive && request_->body_complete && !context_->draining.load();
}

std::optional<step> exchange::carry_out(const step& plan) {
    switch (plan.kind) {
    case step_kind::refuse:
        refuse(plan.reason);
        return std::nullopt;
    case step_kind::replay:
        keep_ = keeps_connection();
        whole_ = caller_->send_stored(*plan.answer, *request_, keep_);
        keep_ = keep_ && whole_;
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
        // A part of the body is gone, so no target can get the whole request any more.
        refuse({503, "body-not-repeatable", "The request can't be sent to another target",
                "The body was too large to be held in memory. Send the request again.",
                may_have_run_ ? outcome::unknown : outcome::not_run, seconds{1}});
        return std::nullopt;
    }
    target_attempt trial(*context_, *caller_, *request_, plan);
    trial.run();
    note(trial.result());
    auto next = context_->decisions->on_attempt_ended(request_->info, trial.result());
    if (trial.caller_left()) {
        caller_->abort();
        return std::nullopt;
    }
    if (trial.caller_fault()) {
        refuse(
            refusal_of(*trial.caller_fault(), may_have_run_ ? outcome::unknown : outcome::not_run));
        return std::nullopt;
    }
    if (next) {
        trial.release();
        return next;
    }
    if (trial.answered()) {
        pass_answer(trial, plan);
    } else {
        refuse(failure_of(trial.result()));
    }
    return std::nullopt;
}

void exchange::note(const attempt_result& result) {
    may_have_run_ =
        may_have_run_ || (result.request_bytes_sent && result.kind != answer_kind::shed);
    if (result.kind != answer_kind::ok && result.kind != answer_kind::server_error) {
        const auto& name = request_->info.name;
        context_->log("request " + std::to_string(request_->info.id) +
                      (name.empty() ? "" : " id=" + name) + ": attempt ended " +
                      std::string(enum_name(health::answer_kind_names, result.kind)));
    }
}

refusal exchange::failure_of(const attempt_result& result) const {
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
    keep_ = keeps_connection();
    whole_ = caller_->send_refusal(reason, request_, keep_);
    keep_ = keep_ && whole_;
}

message_head exchange::answer_head(const target_attempt& attempt, const step& plan) {
    auto head = attempt.head();
    head.remove_hop_by_hop();
    head.remove("Transfer-Encoding");
    if (plan.kind == step_kind::send) {
        head.remove("Wigeonrill-Outcome"); // Only nodes may say what is known about a request.
    }
    head.add_via(context_->options.via);
    if (plan.store_answer) {
        stored_ = begin_stored(head);
    }
    keep_ = keeps_connection();
    if (head.status == 204) {
        head.remove("Content-Length");
    } else if (!has_no_body(*request_, head.status)) {
        if (attempt.held()) {
            head.set("Content-Length", std::to_string(attempt.held()->size()));
        } else if (!attempt.content_length()) {
            chunked_ = request_->head.minor_version > 0;
            keep_ = keep_ && chunked_; // HTTP/1.0: the end of the connection ends the body.
        }
    }
    if (chunked_) {
        head.add("Transfer-Encoding", "chunked");
    }
    add_connection_field(head, request_, keep_);
    return head;
}

void exchange::pass_answer(target_attempt& attempt, const step& plan) {
    const auto head = answer_text(answer_head(attempt, plan));
    const auto idle = plan.route.limits.body_idle;
    if (attempt.held()) {
        if (stored_) {
            stored_->body = *attempt.held();
        }
        // The connection is free before the caller has read the answer.
        attempt.release();
        whole_ = caller_->send(head + *attempt.held(), idle);
    } else {
        whole_ = pass_body(attempt, plan, head);
        attempt.release();
    }
    keep_ = keep_ && whole_;
}

bool exchange::pass_body(target_attempt& attempt, const step& plan, std::string head) {
    std::array<char, piece_bytes> piece{};
    std::string pending = std::move(head);
    for (;;) {
        std::size_t n = 0;
        if (!attempt.read_piece(piece.data(), piece.size(), n)) {
            answer_broke_off(attempt);
            return false;
        }
        const std::string_view body(piece.data(), n);
        if (stored_ && stored_->body.size() + n <= stored_body_bytes) {
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
        if (!caller_->send(pending, plan.route.limits.body_idle)) {
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

void exchange::answer_broke_off(target_attempt& attempt) {
    stored_.reset();
    caller_->abort();
    auto result = attempt.result();
    result.answer_bytes_passed = true;
    note(result);
    // A step is of no use any more: the caller already got a part of this answer.
    static_cast<void>(context_->decisions->on_attempt_ended(request_->info, result));
}

} // namespace wigeonrill::traffic::detail
