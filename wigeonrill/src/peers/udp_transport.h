#ifndef WIGEONRILL_PEERS_UDP_TRANSPORT_H
#define WIGEONRILL_PEERS_UDP_TRANSPORT_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Transport over a UDP socket.
class udp_transport final : public transport {
public:
    /// \brief Opens a socket and binds it.
    /// \param address local address to bind, which also is the source address of sent datagrams;
    ///        port 0 selects any free port
    /// \returns the transport, or an unavailable error that names the address
    [[nodiscard]] static result<std::unique_ptr<udp_transport>> open(const endpoint& address);
    ~udp_transport() override;

    bool send(const endpoint& to, std::string_view bytes) override;
    [[nodiscard]] std::optional<datagram> receive(milliseconds wait) override;
    void wake() override;
    /// \returns the bound address, with the actual port
    [[nodiscard]] endpoint local() const;

private:
    struct socket;
    explicit udp_transport(std::unique_ptr<socket> bound);

    std::unique_ptr<socket> socket_;
    std::atomic<bool> wake_pending_{false}; ///< wake() sent a datagram that wasn't received yet
};

} // namespace wigeonrill::peers

#endif
