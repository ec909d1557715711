#pragma once

#include "celerykeel/core/endpoint_table.h"  // for EndpointEntry
#include "celerykeel/node.pb.h"              // for pb::TunnelOpen
#include "celerykeel/node/endpoint_link.h"   // for EndpointConnect
#include "celerykeel/node/peer_link.h"       // for PeerSocketPtr

namespace celerykeel {

/// @brief Bytes of the count that follows the mark of an endpoint's end,
/// big-endian; see TunnelOpen.
inline constexpr size_t kTunnelCountBytes = 8;

struct Node;

/// @brief Opens a tunnel, a connection to an endpoint over a peer that relays
/// its bytes. Uses a peer that reaches the endpoints, and asks a second one if
/// the first one does not answer or refuses.
/// @param max_idle the peer may use a connection that was idle for less.
/// @param time_left until the call's deadline; bounds the tunnel's lifetime.
/// @param may_relay instances that may relay the bytes.
/// @return `peer` is the last peer asked; empty if none reaches the endpoints.
Task<EndpointConnect> OpenTunnel(Node& node,
                                 EndpointEntry endpoint,
                                 Duration max_idle,
                                 Duration time_left,
                                 PeerFilter may_relay = {});

/// @brief Connects to an endpoint for a peer and relays bytes both ways until
/// either side ends.
Task<> ServeTunnel(Node& node, PeerSocketPtr peer, pb::TunnelOpen open);

}  // namespace celerykeel
