#ifndef WIGEONRILL_PEERS_LINK_STATE_H
#define WIGEONRILL_PEERS_LINK_STATE_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Sequences of the messages between this node and one peer.
///
/// The echo in each message tells whether the peer gets what we send.
class link_state {
public:
    /// \brief Records that a message is sent now.
    /// \returns its sequence
    std::uint64_t next_sequence(instant now);
    /// \brief Checks and records the sequence of a received message.
    /// \returns false for a duplicate and for one that is more than 63 behind the newest
    [[nodiscard]] bool accept(std::uint64_t sequence);
    /// \brief Records the echo in a received message.
    void note_echo(std::uint64_t echo, instant now);
    /// \brief Forgets what the peer sent and echoed, after its restart.
    void restart_peer();
    /// \brief Moves the time of the oldest message without echo, after an own pause.
    void excuse(instant::duration pause);

    /// \returns the sequence to echo, 0 before the first message
    [[nodiscard]] std::uint64_t last_heard() const { return highest_; }
    /// \returns the highest sequence that the peer echoed
    [[nodiscard]] std::uint64_t last_echo() const { return echoed_; }
    /// \returns the sequence of the newest message sent
    [[nodiscard]] std::uint64_t last_sent() const { return sent_; }
    /// \returns whether the peer keeps sending without having got what we sent
    [[nodiscard]] bool unechoed() const { return missed_ >= missed_limit; }

private:
    // With 30 % loss per direction, four messages in a row are lost with a probability of 0.8 %;
    // one or two are common. Two received messages rule out that the echo was only late.
    static constexpr std::uint64_t unechoed_limit = 4;
    static constexpr std::uint8_t missed_limit = 2;

    std::uint64_t sent_{0};
    std::uint64_t echoed_{0};
    std::uint64_t highest_{0};
    std::uint64_t seen_{0}; ///< bit i: sequence highest_ - i was seen
    instant unechoed_since_{};
    std::uint8_t missed_{0};
};

} // namespace wigeonrill::peers

#endif
