#ifndef WIGEONRILL_PEERS_PEER_LINK_H
#define WIGEONRILL_PEERS_PEER_LINK_H

#ifndef WIGEONRILL_PEERS_MODULE
#error "Include wigeonrill/peers.h instead of this file."
#endif

namespace wigeonrill::peers {

/// \brief Connects a gossip_node with a transport through the codec. Used by the control thread.
class peer_link {
public:
    /// \param node outlives the link
    /// \param network outlives the link
    /// \param secret shared by all nodes; empty: datagrams are not authenticated
    peer_link(gossip_node& node, transport& network, const clock_source& clock, std::string secret);

    /// \brief Delivers datagrams to the node until none is waiting, and sends its messages.
    /// \param wait longest time to wait for the first datagram
    void receive(milliseconds wait);
    /// \brief Runs the node's tick and sends its messages.
    void tick();
    /// \brief Sends the node's messages, after a command such as gossip_node::report().
    void flush();

private:
    void deliver(const datagram& received);

    gossip_node& node_;
    transport& network_;
    codec codec_;
};

} // namespace wigeonrill::peers

#endif
