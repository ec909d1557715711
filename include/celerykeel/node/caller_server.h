#pragma once

#include "celerykeel/node/asio.h"  // for Task

namespace celerykeel {

struct Node;

/// @brief Accepts callers' connections and serves them.
Task<> ServeCallers(Node& node);

/// @brief Serves the readiness address: 200 if this instance is ready for
/// callers, otherwise 503.
Task<> ServeReadiness(Node& node);

/// @brief Serves the metrics, if the settings name an address for them.
Task<> ServeMetrics(Node& node);

/// @brief Stops accepting callers, finishes calls in progress and stops the
/// loop. Ends before NodeOptions::stop_time has passed, unless that is shorter
/// than the time that callers need to switch to other instances.
Task<> StopGracefully(Node& node);

}  // namespace celerykeel
