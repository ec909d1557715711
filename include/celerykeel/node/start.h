#pragma once

#include "celerykeel/node/node.h"  // for Node

namespace celerykeel {

/// @brief Draws a random incarnation for the instance and starts its
/// coroutines. The caller runs the loop.
void StartNode(Node& node);

}  // namespace celerykeel
