#ifndef WIGEONRILL_PEERS_TRANSPORT_H
#define WIGEONRILL_PEERS_TRANSPORT_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief A received datagram.
struct datagram {
    endpoint from;
    std::string bytes;
};

/// \brief Sends and receives datagrams.
class transport {
public:
    transport() = default;
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;
    virtual ~transport() = default;

    /// \brief Sends a datagram without waiting.
    /// \returns false when it could not be handed to the network
    virtual bool send(const endpoint& to, std::string_view bytes) = 0;
    /// \brief Waits for a datagram.
    /// \param wait longest time to wait; zero: doesn't wait
    /// \returns the datagram, or nothing; one that is too long is cut to max_datagram_bytes + 1
    [[nodiscard]] virtual std::optional<datagram> receive(milliseconds wait) = 0;
    /// \brief Ends a wait in receive(). Safe from another thread.
    virtual void wake() {}
};

} // namespace wigeonrill::peers

#endif
