#pragma once

#include "celerykeel/node/asio.h"       // for Task
#include "celerykeel/node/peer_link.h"  // for PeerSocketPtr

namespace celerykeel {

struct Node;

/// @brief Serves one connection of another instance until it ends.
Task<> ServePeer(Node& node, PeerSocketPtr peer);

}  // namespace celerykeel
