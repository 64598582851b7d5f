#ifndef WIGEONRILL_PEERS_LINK_STATE_H
#define WIGEONRILL_PEERS_LINK_STATE_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Sequence numbers of the messages between this node and one peer.
///
/// Each message carries, as its echo, the highest sequence that its sender received from the
/// receiver. The echoes of a peer show whether it receives the messages of this node.
class link_state {
public:
    /// \brief Records that a message is sent now.
    /// \returns the sequence of that message
    std::uint64_t next_sequence(instant now);
    /// \brief Checks and records the sequence of a received message.
    /// \returns false for a duplicate, and for a sequence more than 63 behind the highest
    [[nodiscard]] bool accept(std::uint64_t sequence);
    /// \brief Evaluates the echo in a received message.
    void record_echo(std::uint64_t echo, instant now);
    /// \brief Resets the sequences received from the peer and its echoes, after its restart.
    void reset_after_peer_restart();
    /// \brief Postpones the time at which echoes are overdue, after a pause of this process.
    void shift_timers(instant::duration pause);

    /// \returns the highest sequence received, which is the echo to send; 0 before the first
    ///          message
    [[nodiscard]] std::uint64_t last_received_sequence() const { return highest_received_; }
    /// \returns the highest sequence of this node that the peer echoed
    [[nodiscard]] std::uint64_t last_echoed_sequence() const { return last_echoed_; }
    /// \returns the sequence of the newest message sent to the peer
    [[nodiscard]] std::uint64_t last_sent_sequence() const { return last_sent_; }
    /// \returns whether the peer keeps sending but doesn't receive the messages of this node
    [[nodiscard]] bool outbound_broken() const { return missing_echoes_ >= missing_echoes_limit; }

private:
    // The direction to the peer counts as broken after four messages without echo, confirmed by two
    // received messages. With 30 % loss per direction, losing four messages in a row has a
    // probability of 0.8 %, while one or two are common. The second received message rules out that
    // the first one was only sent before the peer received the messages of this node.
    static constexpr std::uint64_t unechoed_messages_limit = 4;
    static constexpr std::uint8_t missing_echoes_limit = 2;

    std::uint64_t last_sent_{0};
    std::uint64_t last_echoed_{0};
    std::uint64_t highest_received_{0};
    std::uint64_t received_window_{0}; ///< bit i: sequence highest_received_ - i was received
    instant unechoed_since_{};         ///< start of the wait for the next echo
    std::uint8_t missing_echoes_{0};   ///< messages received with an overdue echo, limited
};

} // namespace wigeonrill::peers

#endif
