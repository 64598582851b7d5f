#ifndef WIGEONRILL_PEERS_TRANSFER_PROGRESS_H
#define WIGEONRILL_PEERS_TRANSFER_PROGRESS_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Progress of a call to a peer. Thread-safe, so that other threads can watch the call
///        and cancel it.
class transfer_progress {
public:
    /// \brief Records received bytes.
    /// \param since_start time since the start of the call
    void add_bytes(std::size_t count, milliseconds since_start) {
        if (bytes_.fetch_add(count) == 0) {
            wait_ms_ = since_start.count();
        }
    }

    /// \brief Ends the call soon, as failed.
    void cancel() { cancelled_ = true; }

    [[nodiscard]] bool is_cancelled() const { return cancelled_; }
    /// \returns the number of bytes received so far
    [[nodiscard]] std::size_t bytes() const { return bytes_; }
    /// \returns the time until the first byte; nothing while none was received
    [[nodiscard]] std::optional<milliseconds> wait() const {
        return bytes_ == 0 ? std::nullopt : std::optional(milliseconds(wait_ms_.load()));
    }

private:
    std::atomic<std::size_t> bytes_{0};
    std::atomic<milliseconds::rep> wait_ms_{0};
    std::atomic<bool> cancelled_{false};
};

} // namespace wigeonrill::peers

#endif
