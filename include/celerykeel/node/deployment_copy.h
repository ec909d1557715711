#pragma once

#include <string>  // for std::string

#include "celerykeel/node.pb.h"    // for pb::DeploymentWish
#include "celerykeel/node/asio.h"  // for Task

namespace celerykeel {

struct Node;

/// @brief Bytes of the configuration in one message. Heartbeats and calls on
/// the same connection wait for one piece at most.
inline constexpr size_t kDeploymentPieceBytes = 64UL * 1024;

/// @brief Answers a peer that wants a newer configuration.
pb::DeploymentPiece GiveDeployment(Node& node, const pb::DeploymentWish& wish);

/// @brief What has arrived of a configuration.
struct PartialCopy {
  pb::DeploymentPiece first;  // without its bytes
  std::string value;
};

/// @brief Gets a newer configuration from a peer that reported one, and puts it
/// in force. Another peer continues where one fails.
/// @param copy continued by the next call if this one runs out of time.
/// @return false if no peer gave a complete one in time.
Task<bool> CopyDeployment(Node& node, PartialCopy& copy);

}  // namespace celerykeel
