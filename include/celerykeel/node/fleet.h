#pragma once

#include "celerykeel/node.pb.h"         // for pb::NodeFrame
#include "celerykeel/node/asio.h"       // for Task
#include "celerykeel/node/peer_link.h"  // for PeerLinkPtr

namespace celerykeel {

struct Node;

/// @brief Keeps heartbeats, links and slots going.
Task<> RunFleet(Node& node);

/// @brief Writes this instance's entry to the store, and reads the others'.
Task<> RunMembership(Node& node);

/// @brief Sends a heartbeat at the next turn of the loop.
void AnnounceSoon(Node& node);

/// @brief The link to the holder of a slot; null if it is this instance, is
/// not known, or is out of touch.
PeerLinkPtr LinkToHolder(const Node& node, uint32_t slot);

/// @brief Tells the others that this instance leaves.
Task<> LeaveFleet(Node& node);

}  // namespace celerykeel
