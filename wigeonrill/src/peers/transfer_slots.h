#ifndef WIGEONRILL_PEERS_TRANSFER_SLOTS_H
#define WIGEONRILL_PEERS_TRANSFER_SLOTS_H

#include "wigeonrill/peers.h"

#include <condition_variable>
#include <mutex>

namespace wigeonrill::peers {

/// \brief Limits how many calls for changes are under way, and lets them send one after another.
///        Thread-safe.
class transfer_slots {
public:
    explicit transfer_slots(const change_server_limits& limits)
        : slots_(limits.transfers), longest_wait_(limits.wait), longest_turn_(limits.turn) {}

    /// \brief Takes a slot, and waits until the other calls have ended, for one turn at most.
    /// \param may_refuse false: also waits for a slot, up to the longest wait
    /// \returns whether the caller has a slot now, which it must release; false if there is none,
    /// or
    ///          after close()
    [[nodiscard]] bool take(bool may_refuse);
    void release();
    /// \brief Ends all waits, also later ones.
    void close();

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::size_t slots_;
    std::size_t taken_{0};
    std::size_t sending_{0}; ///< of those taken
    milliseconds longest_wait_;
    milliseconds longest_turn_;
    bool closed_{false};
};

} // namespace wigeonrill::peers

#endif
