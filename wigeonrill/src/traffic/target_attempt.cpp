#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/target_attempt.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace wigeonrill::traffic::detail {

namespace {

using health::answer_kind;

/// Answers up to this size are read whole before any of it is passed on, so that one that breaks
/// off can be replaced by another attempt or a refusal.
constexpr std::uint64_t held_answer_bytes = 65'536;
/// The same for an answer that another target can replace: repeating costs the caller less than a
/// download that ends halfway. 128 of them fit half of a small VM's memory.
constexpr std::uint64_t held_repeatable_bytes = 1'048'576;

/// How often a silent target's request looks for another target.
constexpr milliseconds silence_check_period{100};

/// Late answers to other requests that are skipped on one connection before it is given up.
constexpr int most_skipped_answers = 3;

/// A connection used within this time is taken to be alive for work that must not be sent twice.
constexpr milliseconds recently_used{1'000};
/// A connection that was idle longer is not used for any work.
constexpr milliseconds still_usable{5'000};

/// Adds running and waiting requests of a load report; -1: there is none.
std::int32_t read_load(std::string_view text) {
    std::int32_t running = -1;
    const auto* last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, running);
    if (ec != std::errc{} || running < 0) {
        return -1;
    }
    std::int32_t waiting = 0;
    if (end != last && *end == ',') {
        std::from_chars(end + 1, last, waiting);
    }
    return running + std::max(waiting, 0);
}

} // namespace

void target_attempt::run() {
    deadline_ = plan_->deadline == instant{} ? request_->info.deadline : plan_->deadline;
    // A body that can't be sent again must not meet a connection that its target has just closed.
    if (!open(!request_->body_complete)) {
        const bool late = context_->clock->now() >= deadline_;
        static_cast<void>(fail(late ? answer_kind::cancelled : answer_kind::connect_failed));
        return;
    }
    const bool reused = connection_->used();
    answered_ = exchange();
    if (!answered_ && reused && may_retry_on_new_connection()) {
        // A target may close an idle connection at any moment; that says nothing about its health.
        const auto first = result_;
        if (open(true)) {
            answered_ = exchange();
        } else {
            result_ = first;
        }
    }
}

bool target_attempt::may_retry_on_new_connection() const {
    return result_.kind == answer_kind::connection_lost && !answer_began_ &&
           plan_->route.repeat == config::repeat_policy::idempotent && !plan_->fresh_connection &&
           request_->body_complete && !request_->body_streamed;
}

bool target_attempt::open(bool only_new) {
    const bool fresh =
        plan_->fresh_connection || plan_->route.repeat == config::repeat_policy::at_most_once;
    connection_.reset();
    if (!only_new) {
        connection_ = context_->pool.take(plan_->address, fresh ? recently_used : still_usable);
    }
    if (!connection_) {
        const auto left = std::chrono::ceil<milliseconds>(deadline_ - context_->clock->now());
        const auto limit = std::min(context_->options.connect_time, left);
        connection_ = limit.count() > 0 ? context_->pool.connect(plan_->address, limit) : nullptr;
    }
    return connection_ != nullptr;
}

bool target_attempt::exchange() {
    result_ = attempt_result{};
    request_whole_ = false;
    if (has_ended(caller_->fd())) {
        return fail(status::watched_left); // The caller may have left while it was in the queue.
    }
    // The decision comes directly before the first byte: the process may have been paused.
    if (context_->clock->now() >= deadline_ || !context_->decisions->may_send(request_->info)) {
        return fail(answer_kind::cancelled);
    }
    result_.sent = context_->clock->now();
    return send_request() && read_answer();
}

std::string target_attempt::head_text() const {
    message_head head = request_->head;
    const auto& info = request_->info;
    head.target = info.query.empty() ? info.path : info.path + "?" + info.query;
    head.remove_hop_by_hop();
    head.remove("Content-Length");
    head.remove("Transfer-Encoding");
    if (request_->body_complete && !request_->body_streamed) {
        if (request_->length || request_->chunked) {
            head.add("Content-Length", std::to_string(request_->held.size()));
        }
    } else if (request_->chunked) {
        head.add("Transfer-Encoding", "chunked");
    } else {
        head.add("Content-Length", std::to_string(request_->length.value_or(0)));
    }
    if (head.count("Host") == 0) {
        head.add("Host", to_string(plan_->address));
    }
    const auto left = std::chrono::floor<milliseconds>(deadline_ - context_->clock->now());
    const auto& names = context_->options.names;
    head.set(names.deadline, std::to_string(std::max<std::int64_t>(left.count(), 0)));
    if (plan_->kind == step_kind::send && !names.expected_target.empty()) {
        head.set(names.expected_target, plan_->target.value);
    }
    if (plan_->kind == step_kind::forward) {
        head.set(std::string(from_node_field), "1");
        head.set(std::string(caller_field), request_->info.caller);
    }
    head.add_via(context_->options.via);
    return request_text(head);
}

bool target_attempt::send_bytes(std::string_view bytes) {
    std::size_t sent = 0;
    const auto sending = send_watching(connection_->fd(), bytes, plan_->route.limits.body_idle,
                                       *context_->clock, sent, caller_->fd());
    result_.request_bytes_sent = result_.request_bytes_sent || sent > 0;
    // A target may answer and close before it has read the request, so its answer is read first.
    return sending == io_status::ok;
}

bool target_attempt::send_request() {
    if (request_->body_complete && !request_->body_streamed) {
        request_whole_ = send_bytes(head_text() + request_->held);
        return true;
    }
    std::string text = head_text();
    if (!request_->held.empty()) {
        if (request_->chunked) {
            append_chunk(text, request_->held);
        } else {
            text += request_->held;
        }
    }
    return !send_bytes(text) || stream_body();
}

bool target_attempt::stream_body() {
    std::array<char, piece_bytes> piece{};
    std::string framed; // kept, so that the pieces need no allocations
    std::uint64_t total = request_->held.size();
    while (!request_->body_complete) {
        std::size_t n = 0;
        caller_fault_ = caller_->read_piece(*request_, piece.data(), piece.size(), n);
        total += n;
        if (!caller_fault_ && total > plan_->route.max_body_bytes) {
            caller_fault_ = framing_fault{413, "body-too-large", "The body exceeds the limit."};
        }
        if (caller_fault_) {
            return fail(answer_kind::cancelled);
        }
        const std::string_view body(piece.data(), n);
        framed.clear();
        if (request_->chunked && n > 0) {
            append_chunk(framed, body);
        }
        const bool sent = send_bytes(request_->chunked ? framed : body);
        const bool answered_early = !request_->body_complete && !is_quiet(connection_->fd());
        if (!sent || answered_early) {
            return true;
        }
    }
    request_whole_ = !request_->chunked || send_bytes("0\r\n\r\n");
    return true;
}

bool target_attempt::read_answer() {
    if (!read_final_head()) {
        return false;
    }
    note_head();
    if (!is_signed()) {
        return fail(answer_kind::malformed);
    }
    const auto& check = connection_->reader().check();
    length_ = check.content_length();
    const auto limit = plan_->route.repeat == config::repeat_policy::idempotent
                           ? held_repeatable_bytes
                           : held_answer_bytes;
    if (check.done() || length_.value_or(limit + 1) <= limit) {
        return hold_answer();
    }
    return true;
}

bool target_attempt::is_signed() const {
    const auto& name = context_->options.names.signature;
    const bool success = head_.status >= 200 && head_.status < 300;
    return name.empty() || plan_->kind != step_kind::send || !success || head_.count(name) == 1;
}

bool target_attempt::names_other_request() const {
    const auto& name = context_->options.names.request_id;
    return !name.empty() && plan_->kind == step_kind::send && head_.count(name) > 0 &&
           head_.value(name) != request_->info.name;
}

bool target_attempt::skip_answer() {
    std::array<char, piece_bytes> waste{};
    while (!connection_->reader().check().done()) {
        std::size_t n = 0;
        const auto reading = connection_->reader().read_body(waste.data(), waste.size(), n,
                                                             deadline_, caller_->fd());
        if (reading != status::ok) {
            return fail(reading);
        }
    }
    return connection_->reader().check().keep_alive() || fail(status::ended);
}

target_attempt::status target_attempt::wait_for_answer() {
    auto& reader = connection_->reader();
    const auto now = context_->clock->now();
    const auto first_byte = std::min(deadline_, now + plan_->route.limits.first_byte);
    auto reading = reader.wait_first_byte(first_byte, caller_->fd());
    // Without another target, the silent one may still answer in time.
    while (reading == status::timed_out && context_->clock->now() < deadline_ &&
           !context_->decisions->may_retry_elsewhere(request_->info)) {
        const auto next = std::min(deadline_, context_->clock->now() + silence_check_period);
        reading = reader.wait_first_byte(next, caller_->fd());
    }
    return reading;
}

bool target_attempt::read_final_head() {
    auto& reader = connection_->reader();
    int skipped = 0;
    for (;;) {
        reader.begin(
            make_answer_check({context_->options.max_head_bytes, std::nullopt}, to_head()));
        auto reading = wait_for_answer();
        if (reading == status::timed_out && context_->clock->now() >= deadline_) {
            return fail(answer_kind::cancelled);
        }
        if (reading == status::ok) {
            answer_began_ = true;
            reading = reader.read_head(deadline_, caller_->fd());
        }
        if (reading != status::ok) {
            return fail(reading);
        }
        head_ = reader.check().head();
        if (names_other_request()) {
            // A target's second answer to an earlier request; ours comes behind it.
            if (++skipped > most_skipped_answers) {
                return fail(answer_kind::malformed);
            }
            if (!skip_answer()) {
                return false;
            }
            answer_began_ = false;
            continue;
        }
        if (head_.status >= 200) {
            result_.ended = context_->clock->now();
            return true;
        }
        if (head_.status == 101) {
            return fail(answer_kind::malformed); // Upgrade was not passed on.
        }
        // 100 was already answered here; a caller of HTTP/1.0 knows no interim answers.
        if (head_.status != 100 && request_->head.minor_version > 0) {
            caller_->send_interim(head_);
        }
    }
}

bool target_attempt::hold_answer() {
    held_.emplace();
    std::array<char, 4096> piece{};
    while (!connection_->reader().check().done()) {
        std::size_t n = 0;
        const auto limit =
            std::min(deadline_, context_->clock->now() + plan_->route.limits.body_idle);
        const auto reading =
            connection_->reader().read_body(piece.data(), piece.size(), n, limit, caller_->fd());
        if (reading != status::ok) {
            return fail(reading);
        }
        held_->append(piece.data(), n);
    }
    return is_complete() || fail(answer_kind::malformed);
}

bool target_attempt::is_complete() const {
    // Bytes behind the answer show that its length is wrong or that it belongs to another request.
    return !connection_->reader().has_surplus() && !has_input(connection_->fd());
}

bool target_attempt::read_piece(char* out, std::size_t room, std::size_t& n) {
    auto& reader = connection_->reader();
    if (reader.check().done()) {
        n = 0;
        return true;
    }
    const auto limit = context_->clock->now() + plan_->route.limits.body_idle;
    const auto reading = reader.read_body(out, room, n, limit, caller_->fd());
    if (reading != status::ok) {
        return fail(reading);
    }
    return !reader.check().done() || is_complete() || fail(answer_kind::malformed);
}

void target_attempt::note_head() {
    const auto& names = context_->options.names;
    result_.status = head_.status;
    result_.draining = !names.draining.empty() && head_.value(names.draining) == "1";
    result_.misdirected = !names.expected_target.empty() && head_.status == 421;
    result_.reported_load = read_load(head_.value(names.load));
    // The refusal of another node is an answer; it does not speak about a target's slots.
    if (was_not_run() && plan_->kind == step_kind::send) {
        result_.kind = answer_kind::shed;
    } else {
        result_.kind = head_.status >= 500 ? answer_kind::server_error : answer_kind::ok;
    }
}

bool target_attempt::was_not_run() const {
    const auto& names = context_->options.names;
    const bool refused =
        head_.status == 503 || head_.status == 429 || head_.status == 421 || head_.status == 408;
    const bool stated = head_.value(names.not_run) == "1" || result_.misdirected;
    return refused && (stated || (names.retry_after_means_not_run && head_.status == 503 &&
                                  head_.count("Retry-After") > 0));
}

bool target_attempt::fail(answer_kind kind) {
    result_.kind = kind;
    result_.ended = context_->clock->now();
    if (kind == answer_kind::silent) {
        context_->pool.forget(plan_->address);
    }
    connection_.reset();
    return false;
}

bool target_attempt::fail(status reading) {
    switch (reading) {
    case status::timed_out:
        return fail(answer_kind::silent);
    case status::watched_left:
        caller_left_ = true;
        return fail(answer_kind::cancelled);
    case status::faulty:
        return fail(answer_kind::malformed);
    default:
        return fail(answer_began_ ? answer_kind::malformed : answer_kind::connection_lost);
    }
}

void target_attempt::release() {
    if (connection_ && request_whole_ && connection_->reader().check().done() &&
        connection_->reader().check().keep_alive()) {
        context_->pool.put(plan_->address, std::move(connection_));
    }
    connection_.reset();
}

} // namespace wigeonrill::traffic::detail
