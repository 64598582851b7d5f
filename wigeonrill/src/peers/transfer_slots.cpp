#include "wigeonrill/src/peers/transfer_slots.h"

namespace wigeonrill::peers {

bool transfer_slots::take(bool may_refuse) {
    std::unique_lock lock(mutex_);
    if (!may_refuse) {
        changed_.wait_for(lock, longest_wait_, [this] { return taken_ < slots_ || closed_; });
    }
    if (taken_ >= slots_ || closed_) {
        return false;
    }
    ++taken_;
    changed_.wait_for(lock, longest_turn_, [this] { return sending_ == 0 || closed_; });
    ++sending_;
    return true;
}

void transfer_slots::release() {
    {
        const std::lock_guard lock(mutex_);
        --taken_;
        --sending_;
    }
    changed_.notify_all();
}

void transfer_slots::close() {
    {
        const std::lock_guard lock(mutex_);
        closed_ = true;
    }
    changed_.notify_all();
}

} // namespace wigeonrill::peers
