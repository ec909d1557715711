#pragma once

#include <string>  // for std::string

#include "celerykeel/core/endpoint_table.h"  // for EndpointEntry
#include "celerykeel/node.pb.h"              // for pb::TunnelOpen
#include "celerykeel/node/out_connection.h"  // for OutConnectionPtr
#include "celerykeel/node/peer_link.h"       // for PeerSocketPtr

namespace celerykeel {

struct Node;

/// @brief A connection to an endpoint over a peer, which relays its bytes.
struct Tunnel {
  OutConnectionPtr connection;  // null: none could be opened
  std::string peer;
  bool endpoint_failed = false;  // the peer can't connect to the endpoint
};

/// @brief Opens a tunnel over a peer that reaches the endpoints; asks a second
/// peer if the first one does not answer or refuses.
/// @param max_idle the peer may use a connection that was idle for less.
/// @param time_left until the call's deadline; bounds the tunnel's lifetime.
Task<Tunnel> OpenTunnel(Node& node,
                        EndpointEntry endpoint,
                        Duration max_idle,
                        Duration time_left);

/// @brief Connects to an endpoint for a peer and relays bytes both ways until
/// either side ends.
Task<> ServeTunnel(Node& node, PeerSocketPtr peer, pb::TunnelOpen open);

}  // namespace celerykeel
