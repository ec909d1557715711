#pragma once

#include "celerykeel/node/node.h"  // for Node

namespace celerykeel {

/// @brief Draws the instance's incarnation and starts all that it does. The
/// caller runs the loop.
void StartNode(Node& node);

}  // namespace celerykeel
