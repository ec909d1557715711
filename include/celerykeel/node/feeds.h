#pragma once

#include "celerykeel/node/asio.h"  // for Task

namespace celerykeel {

struct Node;

/// @brief Follows the configuration that the operators put in force.
Task<> FollowDeployment(Node& node);

/// @brief A peer knows a newer configuration: reads it now.
void ReadDeploymentSoon(Node& node);

}  // namespace celerykeel
