#pragma once

#include "celerykeel/core/endpoint_table.h"  // for EndpointEntry
#include "celerykeel/node/out_connection.h"  // for OutConnectionPtr

namespace celerykeel {

struct Node;

/// @brief Connects to an endpoint within `timeout`, or takes a connection that
/// was idle for less than `max_idle`.
/// @return null if the endpoint can't be connected to.
Task<OutConnectionPtr> ConnectToEndpoint(Node& node,
                                         EndpointEntry endpoint,
                                         Duration max_idle,
                                         Duration timeout);

/// @brief Longest time for a new connection to an endpoint.
inline constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);

}  // namespace celerykeel
