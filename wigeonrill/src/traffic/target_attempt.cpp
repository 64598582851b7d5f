#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/target_attempt.h"

#include "wigeonrill/src/traffic/answer_statements.h"

#include <algorithm>
#include <array>

namespace wigeonrill::traffic::detail {

namespace {

using health::answer_kind;

/// Largest answer body that is read into memory before anything is sent to the caller. If such an
/// answer is truncated, another attempt or a refusal can replace it.
constexpr std::uint64_t max_buffered_answer_bytes = 65'536;
/// The same limit for requests that can be repeated at another target. It is higher because a
/// repetition costs the caller less than a truncated download. All requests share the memory for
/// what is beyond the first limit.
constexpr std::uint64_t max_buffered_repeatable_bytes = 1'048'576;

/// Interval at which the dispatcher is asked again whether another target can take the request
/// while a target is silent.
constexpr milliseconds silence_check_period{100};

/// Interval at which a silent target's request is checked for the end of a drain.
constexpr milliseconds drain_check_period{500};

/// Longest time from the first byte of an answer's head to its end, and for the body of a late
/// answer to another request. Lost packets are repeated several times within it.
constexpr milliseconds max_head_time{2'000};

/// Number of interim answers to one request that are accepted.
constexpr int max_interim_answers = 16;

/// Number of late answers to other requests that are skipped before the connection is closed.
constexpr int max_skipped_answers = 3;

} // namespace

void target_attempt::run() {
    deadline_ = plan_->deadline == instant{} ? request_->info.deadline : plan_->deadline;
    answer_until_ = deadline_;
    // A streamed body can be sent only once, so it needs a new connection: the target may just have
    // closed a pooled one.
    if (!open_connection(!request_->body_complete)) {
        const bool late = context_->clock->now() >= deadline_;
        static_cast<void>(fail(late ? answer_kind::cancelled : answer_kind::connect_failed));
        return;
    }
    const bool reused = connection_->used();
    answered_ = perform_exchange();
    if (!answered_ && reused && may_retry_on_new_connection()) {
        // A target may close an idle connection at any time, which is no evidence of a fault.
        const auto first_failure = result_;
        answered_ = open_connection(true) && perform_exchange();
        if (!answered_ && !result_.request_bytes_sent) {
            result_ = first_failure;
        }
    }
    result_.connected = new_connection_opened_;
    check_whether_target_is_up();
}

bool target_attempt::perform_exchange() {
    result_ = attempt_result{};
    request_fully_sent_ = false;
    if (closed_by_peer(caller_->fd())) {
        return fail(status::watched_closed); // The caller disconnected, perhaps while queued.
    }
    // This check comes directly before the first byte because the process may have been paused.
    if (context_->clock->now() >= deadline_ || !context_->decisions->may_send(request_->info)) {
        return fail(answer_kind::cancelled);
    }
    result_.sent = context_->clock->now();
    return send_request() && read_answer();
}

instant target_attempt::next_look(instant until) {
    deadline_ = std::min(deadline_, context_->answer_by.load());
    return std::min({until, deadline_, context_->clock->now() + drain_check_period});
}

bool target_attempt::read_answer() {
    if (!read_final_head()) {
        return false;
    }
    record_statements(head_, context_->options.names, plan_->kind, result_);
    if (!has_required_signature(head_, context_->options.names, plan_->kind)) {
        return fail(answer_kind::malformed);
    }
    if (result_.kind == answer_kind::shed && !is_own_refusal()) {
        return fail(answer_kind::malformed);
    }
    length_ = connection_->reader().parser().content_length();
    return !reserve_body_memory() || buffer_answer_body();
}

bool target_attempt::reserve_body_memory() {
    body_memory_ = body_reservation(context_->large_answers);
    if (connection_->reader().parser().done()) {
        return true;
    }
    const auto limit = plan_->route.repeat == config::repeat_policy::idempotent
                           ? max_buffered_repeatable_bytes
                           : max_buffered_answer_bytes;
    if (!length_ || *length_ > limit) {
        return false;
    }
    return *length_ <= max_buffered_answer_bytes || body_memory_.grow(*length_);
}

// A faulty target may write an earlier refusal once more. If that were believed, a request that the
// target runs would be sent again. Without the request's id, only the first refusal on a connection
// is certain to be none of an earlier request.
bool target_attempt::is_own_refusal() {
    const bool named = names_request(head_, context_->options.names, request_->info);
    const bool certain = named || !connection_->carried_refusal();
    connection_->mark_refusal();
    may_reuse_connection_ = named;
    return certain;
}

bool target_attempt::skip_answer() {
    std::array<char, transfer_buffer_bytes> discarded{};
    const auto limit = std::min(deadline_, context_->clock->now() + max_head_time);
    while (!connection_->reader().parser().done()) {
        std::size_t n = 0;
        const auto reading = connection_->reader().read_body(discarded.data(), discarded.size(), n,
                                                             limit, caller_->fd());
        if (reading != status::ok) {
            return fail_unfinished(reading);
        }
        if (context_->clock->now() >= limit) {
            return fail_unfinished(status::timed_out);
        }
    }
    return connection_->reader().parser().keep_alive() || fail(status::ended);
}

target_attempt::status target_attempt::wait_for_answer() {
    if (plan_->kind == step_kind::send) {
        silence_ = std::make_unique<silence_check>(plan_->address, context_->clock->now());
    }
    const auto first_byte = answer_expected_since_ + plan_->route.limits.first_byte;
    for (;;) {
        auto now = context_->clock->now();
        const auto next = now < first_byte ? first_byte : now + silence_check_period;
        const auto reading = wait_first_byte(next_look(next));
        now = context_->clock->now();
        // If no other target can take the request, the silent one may still answer in time.
        if (reading != status::timed_out || now >= deadline_ ||
            (now >= first_byte && context_->decisions->may_retry_elsewhere(request_->info))) {
            return reading;
        }
    }
}

target_attempt::status target_attempt::wait_first_byte(instant until) {
    auto& reader = connection_->reader();
    for (;;) {
        const auto next = silence_ ? std::min(until, silence_->next_update()) : until;
        const auto reading = reader.wait_first_byte(next, caller_->fd());
        if (reading != status::timed_out) {
            return reading;
        }
        const auto now = context_->clock->now();
        if (silence_) {
            silence_->update(now);
        }
        if (now >= until) {
            return reading;
        }
    }
}

bool target_attempt::read_final_head() {
    auto& reader = connection_->reader();
    answer_expected_since_ = context_->clock->now();
    int skipped = 0;
    int interim = 0;
    for (;;) {
        reader.begin(make_answer_parser({context_->options.max_head_bytes, std::nullopt},
                                        is_head_request()));
        auto reading = wait_for_answer();
        if (reading == status::timed_out && context_->clock->now() >= deadline_) {
            return fail(answer_kind::cancelled);
        }
        if (reading == status::ok) {
            answer_started_ = true;
            silence_.reset();
            const auto limit = std::min(deadline_, context_->clock->now() + max_head_time);
            reading = reader.read_head(limit, caller_->fd());
            if (reading != status::ok) {
                return fail_unfinished(reading);
            }
        }
        if (reading != status::ok) {
            return fail(reading);
        }
        head_ = reader.parser().head();
        if (answers_other_request(head_, context_->options.names, plan_->kind, request_->info)) {
            // A late second answer to an earlier request; the answer to this one follows it.
            if (++skipped > max_skipped_answers) {
                return fail(answer_kind::malformed);
            }
            if (!skip_answer()) {
                return false;
            }
            answer_started_ = false;
            continue;
        }
        if (head_.status >= 200) {
            result_.ended = context_->clock->now();
            return true;
        }
        if (head_.status == 101) {
            return fail(answer_kind::malformed); // The Upgrade field was not sent to the target.
        }
        if (++interim > max_interim_answers) {
            return fail(answer_kind::malformed);
        }
        // This node sends 100 itself. HTTP/1.0 has no interim answers.
        if (head_.status != 100 && request_->head.minor_version > 0) {
            if (!caller_->send_interim(head_, deadline_)) {
                // A part of it may have been sent, so no answer can follow it.
                caller_disconnected_ = true;
                return fail(answer_kind::cancelled);
            }
        }
    }
}

target_attempt::status target_attempt::read_held_piece(char* out, std::size_t capacity,
                                                       std::size_t& n) {
    const auto idle_until = context_->clock->now() + plan_->route.limits.body_idle;
    for (;;) {
        const auto until = next_look(idle_until);
        const auto reading =
            connection_->reader().read_body(out, capacity, n, until, caller_->fd());
        const auto end = std::min(idle_until, deadline_);
        if (reading != status::timed_out || context_->clock->now() >= end) {
            return reading;
        }
    }
}

bool target_attempt::buffer_answer_body() {
    buffered_body_.emplace();
    std::array<char, 4096> piece{};
    while (!connection_->reader().parser().done()) {
        std::size_t n = 0;
        const auto reading = read_held_piece(piece.data(), piece.size(), n);
        if (reading != status::ok) {
            return fail(reading);
        }
        buffered_body_->append(piece.data(), n);
    }
    return is_complete() || fail(answer_kind::malformed);
}

bool target_attempt::is_complete() const {
    // Bytes after the answer mean that its length is wrong or that it belongs to another request.
    return !connection_->reader().has_unread_bytes() && !has_input(connection_->fd());
}

bool target_attempt::read_body_piece(char* out, std::size_t capacity, std::size_t& n) {
    auto& reader = connection_->reader();
    if (reader.parser().done()) {
        n = 0;
        return true;
    }
    const auto begin = context_->clock->now();
    if (begin >= answer_until_) {
        return fail(answer_kind::cancelled);
    }
    const auto limit = std::min(answer_until_, begin + plan_->route.limits.body_idle);
    const auto reading = reader.read_body(out, capacity, n, limit, caller_->fd());
    if (reading == status::timed_out) {
        return fail_unfinished_body(begin);
    }
    if (reading != status::ok) {
        return fail(reading);
    }
    return !reader.parser().done() || is_complete() || fail(answer_kind::malformed);
}

bool target_attempt::fail(answer_kind kind) {
    result_.kind = kind;
    result_.ended = context_->clock->now();
    if (kind == answer_kind::silent) {
        context_->pool.close_idle(plan_->address);
    }
    if (silence_) {
        result_.silent = silence_->found();
    }
    give_up_connection();
    return false;
}

bool target_attempt::fail_unfinished(status reading) {
    const bool deadline_passed = context_->clock->now() >= deadline_;
    if (reading == status::timed_out) {
        return fail(deadline_passed ? answer_kind::cancelled : answer_kind::malformed);
    }
    return fail(reading);
}

bool target_attempt::fail_unfinished_body(instant waiting_since) {
    const auto now = context_->clock->now();
    const bool silent =
        now < answer_until_ || now - waiting_since >= plan_->route.limits.first_byte;
    return fail(silent ? answer_kind::silent : answer_kind::cancelled);
}

bool target_attempt::fail(status reading) {
    switch (reading) {
    case status::timed_out:
        return fail(answer_kind::silent);
    case status::watched_closed:
        caller_disconnected_ = true;
        return fail(answer_kind::cancelled);
    case status::faulty:
        return fail(answer_kind::malformed);
    default:
        return fail(answer_started_ ? answer_kind::malformed : answer_kind::connection_lost);
    }
}

} // namespace wigeonrill::traffic::detail
