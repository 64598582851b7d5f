#include "wigeonrill/peers.h"

namespace wigeonrill::peers {

namespace {

// An echo that is missing for this long is overdue. A peer answers a request within one round trip,
// which takes at most about 200 ms between regions.
constexpr seconds echo_delay{1};

} // namespace

std::uint64_t link_state::next_sequence(instant now) {
    if (last_echoed_ == last_sent_) {
        unechoed_since_ = now;
    }
    return ++last_sent_;
}

bool link_state::accept(std::uint64_t sequence) {
    constexpr std::uint64_t window = 64;
    if (sequence == 0) {
        return false;
    }
    if (sequence > highest_received_) {
        const auto step = sequence - highest_received_;
        received_window_ = step >= window ? 0 : received_window_ << step;
        received_window_ |= 1U;
        highest_received_ = sequence;
        return true;
    }
    const auto behind = highest_received_ - sequence;
    if (behind >= window || ((received_window_ >> behind) & 1U) != 0) {
        return false;
    }
    received_window_ |= std::uint64_t{1} << behind;
    return true;
}

void link_state::record_echo(std::uint64_t echo, instant now) {
    if (echo > last_sent_) {
        return; // The echo is of a sequence that a previous process of this node sent.
    }
    if (echo > last_echoed_) {
        last_echoed_ = echo;
        missing_echoes_ = 0;
        unechoed_since_ = now;
        return;
    }
    const bool overdue = now - unechoed_since_ >= echo_delay;
    if (last_sent_ - last_echoed_ >= unechoed_messages_limit && overdue &&
        missing_echoes_ < missing_echoes_limit) {
        ++missing_echoes_;
    }
}

void link_state::reset_after_peer_restart() {
    highest_received_ = 0;
    received_window_ = 0;
    last_echoed_ = last_sent_;
    missing_echoes_ = 0;
}

void link_state::shift_timers(instant::duration pause) {
    unechoed_since_ += pause;
    missing_echoes_ = 0;
}

} // namespace wigeonrill::peers
