#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/message_reader.h"

#include <algorithm>
#include <cstring>

namespace wigeonrill::traffic::detail {

namespace {

/// Enough for most heads; idle connections hold no more than this.
constexpr std::size_t small_buffer = 4096;

} // namespace

void message_reader::begin(std::unique_ptr<framing_check> check) {
    check_ = std::move(check);
    if (first_ == last_ && buf_.size() > small_buffer) {
        std::vector<char>().swap(buf_);
        first_ = last_ = 0;
    }
}

message_reader::status message_reader::wait_first_byte(instant deadline, int watched) {
    return first_ < last_ ? status::ok : fill(deadline, watched);
}

message_reader::status message_reader::read_head(instant deadline, int watched) {
    for (;;) {
        if (first_ < last_) {
            const std::string_view in(buf_.data() + first_, last_ - first_);
            first_ += check_->feed(in, nullptr, 0).consumed;
            if (check_->fault()) {
                return status::faulty;
            }
            if (check_->head_done()) {
                return status::ok;
            }
        }
        const bool started = first_ < last_ || check_->started();
        const auto result = fill(deadline, watched);
        if (result != status::ok) {
            return result == status::ended && started ? status::cut : result;
        }
    }
}

message_reader::status message_reader::read_body(char* out, std::size_t room, std::size_t& n,
                                                 instant deadline, int watched) {
    n = 0;
    for (;;) {
        const std::string_view in(buf_.data() + first_, last_ - first_);
        const auto [consumed, produced] = check_->feed(in, out, room);
        first_ += consumed;
        n = produced;
        if (check_->fault()) {
            return status::faulty;
        }
        if (check_->done() || produced > 0) {
            return status::ok;
        }
        auto result = fill(deadline, watched);
        if (result == status::ended) {
            check_->end_of_stream();
            return check_->fault() ? status::cut : status::ok;
        }
        if (result != status::ok) {
            return result;
        }
    }
}

message_reader::status message_reader::fill(instant deadline, int watched) {
    make_room();
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
        more_is_likely_ = last_ == buf_.size();
        switch (result) {
        case io_status::ok:
            return status::ok;
        case io_status::ended:
            return status::ended;
        case io_status::timed_out:
            return status::timed_out;
        case io_status::watched_left:
            return status::watched_left;
        default:
            return status::cut;
        }
    }
}

void message_reader::make_room() {
    if (first_ == last_) {
        first_ = last_ = 0;
    } else if (last_ == buf_.size() && first_ > 0) {
        std::memmove(buf_.data(), buf_.data() + first_, last_ - first_);
        last_ -= first_;
        first_ = 0;
    }
    if (more_is_likely_ && first_ == last_ && buf_.size() < piece_bytes) {
        buf_.resize(piece_bytes);
    } else if (last_ == buf_.size()) {
        // The check bounds unread bytes by the head limit, so growth is bounded too.
        buf_.resize(std::max(small_buffer, 2 * buf_.size()));
    }
}

} // namespace wigeonrill::traffic::detail
