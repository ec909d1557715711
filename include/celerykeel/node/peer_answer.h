#pragma once

#include "celerykeel/node/asio.h"  // for Task

namespace celerykeel {

struct Node;

/// @brief Accepts connections of other instances and answers their calls.
Task<> ServePeers(Node& node);

}  // namespace celerykeel
