#include "celerykeel/node/endpoint_link.h"

#include <algorithm>  // for std::min
#include <optional>   // for std::optional

#include "celerykeel/base/clock.h"   // for Now
#include "celerykeel/node/fleet.h"   // for AnnounceSoon
#include "celerykeel/node/node.h"    // for Node
#include "celerykeel/node/tunnel.h"  // for OpenTunnel

namespace celerykeel {

namespace {

constexpr Duration kProbeInterval = std::chrono::milliseconds(200);

void RecordFailedConnect(Node& node, const EndpointEntry& endpoint) {
  if (!RecordConnectFailure(node.endpoint_path, endpoint.id,
                            node.endpoints.endpoints.size(), Now())) {
    return;
  }
  WriteLog(node.log, LogLevel::kUnusual, "endpoints lost",
           {{"endpoint", endpoint.id}});
  // These endpoints did not fail, but the way to them.
  for (const auto& [id, failed_at] : node.endpoint_path.failed) {
    RecordSuccess(node.endpoints, id);
  }
  AnnounceSoon(node);
}

void RecordNewConnection(Node& node, const EndpointEntry& endpoint) {
  if (RecordConnectSuccess(node.endpoint_path, endpoint.id,
                           node.endpoints.endpoints.size())) {
    WriteLog(node.log, LogLevel::kUnusual, "endpoints regained",
             {{"endpoint", endpoint.id}});
    AnnounceSoon(node);
  }
}

// Returns the endpoint after `last` in the table, the first one after the last.
std::optional<EndpointEntry> NextEndpoint(const Node& node,
                                          const std::string& last) {
  const auto& endpoints = node.endpoints.endpoints;
  if (endpoints.empty()) {
    return std::nullopt;
  }
  const auto next = endpoints.upper_bound(last);
  return next == endpoints.end() ? endpoints.begin()->second.entry
                                 : next->second.entry;
}

}  // namespace

Task<OutConnectionPtr> ConnectDirectly(Node& node,
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

// Without a peer that reaches the endpoints, the endpoints may have failed and
// not the way to them, so the call is tried directly.
Task<EndpointConnect> ConnectToEndpoint(Node& node,
                                        EndpointEntry endpoint,
                                        Duration max_idle,
                                        Duration time_left) {
  const Duration until = Now() + time_left;
  const bool was_cut_off = node.endpoint_path.is_cut_off;
  EndpointConnect done;
  if (!was_cut_off) {
    done.connection =
        co_await ConnectDirectly(node, endpoint, max_idle, time_left);
    done.endpoint_failed =
        done.connection == nullptr && !node.endpoint_path.is_cut_off;
    if (done.connection != nullptr || done.endpoint_failed) {
      co_return done;
    }
  }
  done = co_await OpenTunnel(node, endpoint, max_idle, until - Now());
  if (was_cut_off && done.peer.empty()) {
    done.connection =
        co_await ConnectDirectly(node, endpoint, max_idle, until - Now());
    done.endpoint_failed = done.connection == nullptr;
  }
  co_return done;
}

Task<> ProbeEndpoints(Node& node) {
  std::string last;
  bool is_reached = false;
  while (true) {
    if (!is_reached) {
      co_await Sleep(node.io, kProbeInterval);
    }
    const auto endpoint =
        node.endpoint_path.is_cut_off ? NextEndpoint(node, last) : std::nullopt;
    is_reached = false;
    if (!endpoint) {
      continue;
    }
    last = endpoint->id;
    const OutConnectionPtr connection = co_await ConnectDirectly(
        node, *endpoint, Duration::zero(), kConnectTimeout);
    if (connection != nullptr) {
      is_reached = true;  // the next endpoint is tried at once
      Close(*connection);
    }
  }
}

}  // namespace celerykeel
