#pragma once

#include <functional>  // for std::function
#include <string>      // for std::string

#include "celerykeel/core/endpoint_table.h"  // for EndpointEntry
#include "celerykeel/node/out_connection.h"  // for OutConnectionPtr

namespace celerykeel {

struct Node;

/// @brief True for instances over which a call's bytes may go; empty: all.
using PeerFilter = std::function<bool(const std::string&)>;

struct EndpointConnect {
  OutConnectionPtr connection;   // null: the call was not sent
  std::string peer;              // asked to relay the bytes; empty: none
  bool endpoint_failed = false;  // not this instance's way to it
  bool refused = false;          // nothing listens at its address
};

/// @brief Connects to an endpoint, or takes a connection that was idle for less
/// than `max_idle`. While this instance is cut off from the endpoints, connects
/// over a peer that reaches them.
/// @param time_left until the call's deadline.
/// @param may_relay instances that may relay the bytes.
Task<EndpointConnect> ConnectToEndpoint(Node& node,
                                        EndpointEntry endpoint,
                                        Duration max_idle,
                                        Duration time_left,
                                        PeerFilter may_relay = {});

/// @brief Connects to an endpoint without a peer, within `timeout` and
/// kConnectTimeout, and records whether it was reached.
Task<tl::expected<OutConnectionPtr, ConnectError>> ConnectDirectly(
    Node& node,
    EndpointEntry endpoint,
    Duration max_idle,
    Duration timeout);

/// @brief While this instance is cut off, connects to one endpoint after the
/// other to detect the end of it.
Task<> ProbeEndpoints(Node& node);

/// @brief Longest time for a new connection to an endpoint.
inline constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);

/// @brief Returns a connection to an endpoint to the pool, which keeps as many
/// idle ones as all instances together may; see IdleConnectionsPerEndpoint.
void ReturnToEndpointPool(Node& node,
                          const std::string& service,
                          const std::string& address,
                          const OutConnectionPtr& connection,
                          const AnswerHead& head);

}  // namespace celerykeel
