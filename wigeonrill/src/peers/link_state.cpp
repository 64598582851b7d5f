#include "wigeonrill/peers.h"

namespace wigeonrill::peers {

namespace {

// Longest time from sending to the next message of the peer that carries the echo: a peer that is
// asked answers within a round trip, at most some 200 ms between regions.
constexpr seconds echo_delay{1};

} // namespace

std::uint64_t link_state::next_sequence(instant now) {
    if (echoed_ == sent_) {
        unechoed_since_ = now;
    }
    return ++sent_;
}

bool link_state::accept(std::uint64_t sequence) {
    constexpr std::uint64_t window = 64;
    if (sequence == 0) {
        return false;
    }
    if (sequence > highest_) {
        const auto step = sequence - highest_;
        seen_ = step >= window ? 0 : seen_ << step;
        seen_ |= 1U;
        highest_ = sequence;
        return true;
    }
    const auto behind = highest_ - sequence;
    if (behind >= window || ((seen_ >> behind) & 1U) != 0) {
        return false;
    }
    seen_ |= std::uint64_t{1} << behind;
    return true;
}

void link_state::note_echo(std::uint64_t echo, instant now) {
    if (echo > sent_) {
        return; // refers to a previous process of this node
    }
    if (echo > echoed_) {
        echoed_ = echo;
        missed_ = 0;
        unechoed_since_ = now;
        return;
    }
    const bool overdue = now - unechoed_since_ >= echo_delay;
    if (sent_ - echoed_ >= unechoed_limit && overdue && missed_ < missed_limit) {
        ++missed_;
    }
}

void link_state::restart_peer() {
    highest_ = 0;
    seen_ = 0;
    echoed_ = sent_;
    missed_ = 0;
}

void link_state::excuse(instant::duration pause) {
    unechoed_since_ += pause;
    missed_ = 0;
}

} // namespace wigeonrill::peers
