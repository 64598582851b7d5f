#include "wigeonrill/peers.h"

namespace wigeonrill::peers {

namespace {

// Limits the datagrams per call, so that a flood of them can't delay the tick of the control
// thread.
constexpr int max_datagrams_per_call = 256;

} // namespace

peer_link::peer_link(gossip_node& node, transport& network, const clock_source& clock,
                     std::string secret)
    : node_(node), network_(network), codec_(clock, std::move(secret)) {}

void peer_link::receive(milliseconds wait) {
    for (int i = 0; i < max_datagrams_per_call; ++i) {
        const auto received = network_.receive(i == 0 ? wait : milliseconds{0});
        if (!received) {
            return;
        }
        deliver(*received);
        flush();
    }
}

void peer_link::deliver(const datagram& received) {
    const node_id from{to_string(received.from)};
    const auto content = codec_.decode(received.bytes, from, node_.id());
    if (content) {
        node_.receive(from, *content, received.bytes.size());
    } else {
        node_.count_drop(content.error(), received.bytes.size());
    }
}

void peer_link::tick() {
    node_.tick();
    flush();
}

void peer_link::flush() {
    for (const auto& it : node_.take_outgoing()) {
        const auto address = parse_endpoint(it.to.value);
        const auto bytes = codec_.encode(it.content, node_.id(), it.to);
        const bool sent = address && bytes && network_.send(*address, *bytes);
        node_.count_sent(it, sent ? bytes->size() : 0);
    }
}

} // namespace wigeonrill::peers
