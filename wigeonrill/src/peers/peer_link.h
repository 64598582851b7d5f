#ifndef WIGEONRILL_PEERS_PEER_LINK_H
#define WIGEONRILL_PEERS_PEER_LINK_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Connects a gossip_node with a transport through the codec. Not thread-safe; used by the
/// control thread.
class peer_link {
public:
    /// \param node must outlive the link
    /// \param network must outlive the link
    /// \param clock must outlive the link
    /// \param secret key shared by all nodes; if empty, datagrams are not authenticated
    peer_link(gossip_node& node, transport& network, const clock_source& clock, std::string secret);

    /// \brief Passes waiting datagrams to the node, up to a limit, and sends the node's messages.
    /// \param wait longest time to wait for the first datagram
    void receive(milliseconds wait);
    /// \brief Calls gossip_node::tick() and sends the node's messages.
    void tick();
    /// \brief Sends the node's messages, to be called after commands such as gossip_node::report().
    void flush();

private:
    void deliver(const datagram& received);

    gossip_node& node_;
    transport& network_;
    codec codec_;
};

} // namespace wigeonrill::peers

#endif
