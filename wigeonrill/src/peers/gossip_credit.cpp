#include "wigeonrill/peers.h"

// Members of gossip_node for messages between nodes and granters of credit.

namespace wigeonrill::peers {

void gossip_node::send(const node_id& to, quota::credit_ask ask) {
    message content;
    content.kind = message_kind::credit;
    content.credit_ask = std::move(ask);
    send(to, std::move(content), clock_.now());
}

void gossip_node::send(const node_id& to, quota::credit_grant grant) {
    message content;
    content.kind = message_kind::credit;
    content.credit_grant = std::move(grant);
    send(to, std::move(content), clock_.now());
}

} // namespace wigeonrill::peers
