#ifndef WIGEONRILL_PEERS_COUNT_BATCH_H
#define WIGEONRILL_PEERS_COUNT_BATCH_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Numbers of outstanding requests that wait until the byte budget allows sending them.
///
/// Keeps the latest number of each target. A number that was left out instead would make peers
/// count requests that have ended, because the message that says so is as likely to be left out as
/// the one that announced the request.
class count_batch {
public:
    /// \brief Adds an observation with a number of outstanding requests. It replaces the waiting
    ///        one of the target; a success among the two stays reported.
    void add(health::observation seen);
    /// \brief Removes all observations.
    /// \returns the observations, in the order in which their targets were added
    [[nodiscard]] std::vector<health::observation> take() { return std::exchange(waiting_, {}); }
    [[nodiscard]] bool empty() const { return waiting_.empty(); }

private:
    std::vector<health::observation> waiting_; ///< one per target
};

} // namespace wigeonrill::peers

#endif
