#ifndef WIGEONRILL_PEERS_TRANSPORT_H
#define WIGEONRILL_PEERS_TRANSPORT_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Received datagram with the address of its sender.
struct datagram {
    endpoint from;
    std::string bytes;
};

/// \brief Interface for sending and receiving datagrams.
class transport {
public:
    transport() = default;
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;
    virtual ~transport() = default;

    /// \brief Sends a datagram without blocking.
    /// \returns false if it could not be passed to the network
    virtual bool send(const endpoint& to, std::string_view bytes) = 0;
    /// \brief Waits for a datagram.
    /// \param wait longest time to wait; zero returns at once
    /// \returns the datagram, or nothing; an oversized one is truncated to max_datagram_bytes + 1
    [[nodiscard]] virtual std::optional<datagram> receive(milliseconds wait) = 0;
    /// \brief Ends a wait in receive(). May be called from another thread.
    virtual void wake() {}
};

} // namespace wigeonrill::peers

#endif
