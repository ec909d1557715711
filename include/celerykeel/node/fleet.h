#pragma once

#include <functional>  // for std::function
#include <string>      // for std::string
#include <vector>      // for std::vector

#include "celerykeel/node.pb.h"         // for pb::NodeFrame
#include "celerykeel/node/asio.h"       // for Task
#include "celerykeel/node/peer_link.h"  // for PeerLinkPtr

namespace celerykeel {

struct Node;
struct PeerState;

/// @brief Sends heartbeats, dials peers, takes vacant slots and runs the
/// periodic cleanup of the instance's state.
Task<> RunFleet(Node& node);

/// @brief Writes this instance's membership entry to the store periodically,
/// and reads the entries of other instances.
Task<> RunMembership(Node& node);

/// @brief Sends a heartbeat in the next iteration of the event loop.
void AnnounceSoon(Node& node);

/// @brief Returns the link to the holder of a slot; null if the holder is this
/// instance, unknown or not connected.
PeerLinkPtr LinkToHolder(const Node& node, uint32_t slot);

/// @brief Releases the slots, and announces to the peers and in the store that
/// this instance leaves.
Task<> LeaveFleet(Node& node);

/// @brief Connected peers whose last heartbeat satisfies the condition, in the
/// order of RankPeers.
std::vector<std::string> RankConnectedPeers(
    const Node& node,
    uint64_t round,
    const std::function<bool(const PeerState&)>& is_candidate);

}  // namespace celerykeel
