#pragma once

#include "celerykeel/node/asio.h"  // for Task

namespace celerykeel {

struct Node;

/// @brief Accepts callers and serves their connections.
Task<> ServeCallers(Node& node);

/// @brief Answers whether this instance takes callers.
Task<> ServeReadiness(Node& node);

/// @brief Answers with the metrics, if the settings name an address for them.
Task<> ServeMetrics(Node& node);

/// @brief Stops taking callers, finishes what is under way, and ends the loop.
Task<> StopGracefully(Node& node);

}  // namespace celerykeel
