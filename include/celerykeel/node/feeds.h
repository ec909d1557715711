#pragma once

#include "celerykeel/node/asio.h"  // for Task

namespace celerykeel {

struct Node;

/// @brief Follows the configuration that operators write to the store.
Task<> FollowDeployment(Node& node);

/// @brief Starts to read the configuration until it is as new as the one that
/// peers report, unless such a read is in progress.
void ReadDeploymentSoon(Node& node);

}  // namespace celerykeel
