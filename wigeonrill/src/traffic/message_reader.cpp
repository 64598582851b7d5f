#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/message_reader.h"

#include <algorithm>
#include <cstring>

namespace wigeonrill::traffic::detail {

namespace {

/// Initial size of the receive buffer. It suffices for most heads, and idle connections keep no
/// larger buffer.
constexpr std::size_t initial_buffer_bytes = 4096;

} // namespace

void message_reader::begin(std::unique_ptr<message_parser> parser) {
    parser_ = std::move(parser);
    if (first_ == last_ && buf_.size() > initial_buffer_bytes) {
        std::vector<char>().swap(buf_);
        first_ = last_ = 0;
    }
}

message_reader::status message_reader::wait_first_byte(instant deadline, int watched) {
    return first_ < last_ ? status::ok : receive_more(deadline, watched);
}

message_reader::status message_reader::read_head(instant deadline, int watched) {
    for (;;) {
        if (first_ < last_) {
            const std::string_view in(buf_.data() + first_, last_ - first_);
            first_ += parser_->feed(in, nullptr, 0).consumed;
            if (parser_->fault()) {
                return status::faulty;
            }
            if (parser_->head_done()) {
                return status::ok;
            }
        }
        const bool started = first_ < last_ || parser_->started();
        const auto result = receive_more(deadline, watched);
        if (result != status::ok) {
            return result == status::ended && started ? status::truncated : result;
        }
    }
}

message_reader::status message_reader::read_body(char* out, std::size_t capacity, std::size_t& n,
                                                 instant deadline, int watched) {
    n = 0;
    for (;;) {
        const std::string_view in(buf_.data() + first_, last_ - first_);
        const auto [consumed, produced] = parser_->feed(in, out, capacity);
        first_ += consumed;
        n = produced;
        if (parser_->fault()) {
            return status::faulty;
        }
        if (parser_->done() || produced > 0) {
            return status::ok;
        }
        auto result = receive_more(deadline, watched);
        if (result == status::ended) {
            parser_->end_of_stream();
            return parser_->fault() ? status::truncated : status::ok;
        }
        if (result != status::ok) {
            return result;
        }
    }
}

message_reader::status message_reader::receive_more(instant deadline, int watched) {
    ensure_buffer_space();
    for (;;) {
        std::size_t n = 0;
        auto result = receive_some(fd_, buf_.data() + last_, buf_.size() - last_, n);
        if (result == io_status::timed_out) {
            result = wait_readable(fd_, deadline, *clock_, watched);
            if (result == io_status::ok) {
                continue;
            }
        }
        last_ += n;
        last_receive_filled_buffer_ = last_ == buf_.size();
        switch (result) {
        case io_status::ok:
            return status::ok;
        case io_status::ended:
            return status::ended;
        case io_status::timed_out:
            return status::timed_out;
        case io_status::watched_closed:
            return status::watched_closed;
        default:
            return status::truncated;
        }
    }
}

void message_reader::ensure_buffer_space() {
    if (first_ == last_) {
        first_ = last_ = 0;
    } else if (last_ == buf_.size() && first_ > 0) {
        std::memmove(buf_.data(), buf_.data() + first_, last_ - first_);
        last_ -= first_;
        first_ = 0;
    }
    if (last_receive_filled_buffer_ && first_ == last_ && buf_.size() < transfer_buffer_bytes) {
        buf_.resize(transfer_buffer_bytes);
    } else if (last_ == buf_.size()) {
        // The parser limits unconsumed bytes to the maximum size of a head, which bounds this
        // growth.
        buf_.resize(std::max(initial_buffer_bytes, 2 * buf_.size()));
    }
}

} // namespace wigeonrill::traffic::detail
