#ifndef WIGEONRILL_PEERS_H
#define WIGEONRILL_PEERS_H

/// \file
/// \brief Membership, gossip, evidence reports, and the transfer of configuration between nodes.

#define WIGEONRILL_PEERS_MODULE

#include <algorithm>
#include <atomic>
#include <deque>
#include <set>
#include <tuple>

#include "config.h"
#include "health.h"
#include "once.h"
#include "quota.h"

#include "src/peers/member_state.h"
// Needs member_state.h.
#include "src/peers/message.h"
// Needs message.h.
#include "src/peers/codec.h"
#include "src/peers/count_batch.h"
#include "src/peers/fetch_scheduler.h"
#include "src/peers/link_state.h"
#include "src/peers/rumor_queue.h"
#include "src/peers/traffic_counters.h"
// Needs link_state.h and message.h.
#include "src/peers/member_table.h"
// Needs rumor_queue.h, message.h and codec.h.
#include "src/peers/digest_builder.h"
#include "src/peers/evidence_queue.h"
// Needs the headers above.
#include "src/peers/gossip_node.h"
// Datagram transport.
#include "src/peers/transport.h"
#include "src/peers/udp_transport.h"
// Needs gossip_node.h and transport.h.
#include "src/peers/peer_link.h"
// Thrift service over TCP.
#include "src/peers/transfer_progress.h"
// Needs transfer_progress.h.
#include "src/peers/change_client.h"
#include "src/peers/change_server.h"
#include "src/peers/thrift_output.h"

#endif
