#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/target_attempt.h"

#include "wigeonrill/src/traffic/forwarded_head.h"

#include <algorithm>
#include <array>

// Members of target_attempt that send the request.

namespace wigeonrill::traffic::detail {

using health::answer_kind;

std::string target_attempt::request_head() const {
    const auto left = std::chrono::floor<milliseconds>(deadline_ - context_->clock->now());
    return make_forwarded_head(*request_, *plan_, context_->options, left);
}

// A target may answer and close the connection before it has read the whole request, so a failed
// send is followed by reading the answer.
bool target_attempt::send_bytes(std::string_view bytes) {
    const auto idle = plan_->route.limits.body_idle;
    auto idle_until = context_->clock->now() + idle;
    for (;;) {
        std::size_t sent = 0;
        const send_limits limits{idle, next_look(idle_until)};
        const auto sending =
            send_watching(connection_->fd(), bytes, limits, *context_->clock, sent, caller_->fd());
        result_.request_bytes_sent = result_.request_bytes_sent || sent > 0;
        bytes.remove_prefix(sent);
        const auto now = context_->clock->now();
        idle_until = sent > 0 ? now + idle : idle_until;
        if (sending != io_status::timed_out || now >= std::min(deadline_, idle_until)) {
            return sending == io_status::ok;
        }
    }
}

bool target_attempt::send_request() {
    if (request_->body_complete && !request_->body_streamed) {
        request_fully_sent_ = send_buffered_request();
        return true;
    }
    std::string text = request_head();
    if (!request_->buffered_body.empty()) {
        if (request_->chunked) {
            append_chunk(text, request_->buffered_body);
        } else {
            text += request_->buffered_body;
        }
    }
    return !send_bytes(text) || stream_body();
}

bool target_attempt::send_buffered_request() {
    const auto& body = request_->buffered_body;
    auto text = request_head();
    if (body.size() > transfer_buffer_bytes) { // too large to be copied behind the head
        return send_bytes(text) && send_bytes(body);
    }
    return send_bytes(text.append(body));
}

target_attempt::body_event target_attempt::wait_for_more_body() {
    const int target = connection_->fd();
    const auto idle_until = caller_->body_read_deadline(*request_);
    for (;;) {
        const auto until = next_look(idle_until);
        if (context_->clock->now() >= deadline_) {
            return body_event::deadline;
        }
        if (caller_->reader().has_unread_bytes()) {
            return is_open_without_input(target) ? body_event::more : body_event::answer;
        }
        const auto status = wait_readable_unless(caller_->fd(), target, until, *context_->clock);
        if (status == io_status::interrupted) {
            return body_event::answer;
        }
        // Reading from a caller that has sent nothing for too long tells that fault.
        if (status != io_status::timed_out || context_->clock->now() >= idle_until) {
            return body_event::more;
        }
    }
}

bool target_attempt::read_caller_body(char* out, std::size_t capacity, std::size_t& n) {
    caller_fault_ = caller_->read_body_piece(*request_, out, capacity, n, deadline_);
    const bool late = caller_fault_ && context_->clock->now() >= deadline_;
    if (late) {
        caller_fault_.reset(); // The time for the request is over, not only that for its body.
    }
    return late || caller_fault_ ? fail(answer_kind::cancelled) : true;
}

bool target_attempt::stream_body() {
    std::array<char, transfer_buffer_bytes> piece{};
    std::string framed; // declared outside the loop to reuse its memory
    std::uint64_t total = request_->buffered_body.size();
    caller_->invite_body(*request_);
    while (!request_->body_complete) {
        const auto event = wait_for_more_body();
        if (event == body_event::answer) {
            return true;
        }
        if (event == body_event::deadline) {
            return fail(answer_kind::cancelled);
        }
        std::size_t n = 0;
        if (!read_caller_body(piece.data(), piece.size(), n)) {
            return false;
        }
        total += n;
        if (total > plan_->route.max_body_bytes) {
            caller_fault_ = framing_fault{413, "body-too-large", "The body exceeds the limit."};
            return fail(answer_kind::cancelled);
        }
        const std::string_view body(piece.data(), n);
        framed.clear();
        if (request_->chunked && n > 0) {
            append_chunk(framed, body);
        }
        if (!send_bytes(request_->chunked ? framed : body)) {
            return true;
        }
    }
    request_fully_sent_ = !request_->chunked || send_bytes("0\r\n\r\n");
    return true;
}

} // namespace wigeonrill::traffic::detail
