#include "celerykeel/node/endpoint_link.h"

#include <algorithm>  // for std::min

#include "celerykeel/base/clock.h"  // for Now
#include "celerykeel/node/node.h"   // for Node

namespace celerykeel {

namespace {

void RecordFailedConnect(Node& node, const EndpointEntry& endpoint) {
  if (RecordConnectFailure(node.endpoint_path, endpoint.id,
                           node.endpoints.endpoints.size(), Now())) {
    WriteLog(node.log, LogLevel::kUnusual, "endpoints lost",
             {{"endpoint", endpoint.id}});
  }
}

void RecordNewConnection(Node& node, const EndpointEntry& endpoint) {
  if (RecordConnectSuccess(node.endpoint_path, endpoint.id,
                           node.endpoints.endpoints.size())) {
    WriteLog(node.log, LogLevel::kUnusual, "endpoints regained",
             {{"endpoint", endpoint.id}});
  }
}

}  // namespace

Task<OutConnectionPtr> ConnectToEndpoint(Node& node,
                                         EndpointEntry endpoint,
                                         Duration max_idle,
                                         Duration timeout) {
  const Duration began = Now();
  OutConnectionPtr connection =
      co_await Connect(node.io, node.endpoint_pool, endpoint.address, max_idle,
                       std::min(kConnectTimeout, timeout));
  // A call with little time left says nothing about the way to the endpoint.
  const bool had_time = timeout >= kConnectTimeout || Now() < began + timeout;
  if (connection == nullptr && had_time) {
    RecordFailedConnect(node, endpoint);
  } else if (connection != nullptr && !connection->was_idle) {
    RecordNewConnection(node, endpoint);
  }
  co_return connection;
}

}  // namespace celerykeel
