#include "celerykeel/node/endpoint_link.h"

#include <algorithm>  // for std::count_if, std::min
#include <optional>   // for std::optional
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"   // for Now
#include "celerykeel/node/fleet.h"   // for AnnounceSoon
#include "celerykeel/node/node.h"    // for Node
#include "celerykeel/node/tunnel.h"  // for OpenTunnel

namespace celerykeel {

namespace {

constexpr Duration kProbeInterval = std::chrono::milliseconds(200);

// Endpoints in evacuated zones get no new connections.
size_t CountReachable(const Node& node) {
  const auto& endpoints = node.endpoints.endpoints;
  return static_cast<size_t>(std::count_if(
      endpoints.begin(), endpoints.end(), [&node](const auto& entry) {
        return !IsEvacuated(node.endpoints.evacuations,
                            entry.second.entry.zone);
      }));
}

void RecordFailedConnect(Node& node, const EndpointEntry& endpoint) {
  if (!RecordConnectFailure(node.endpoint_path, endpoint.id,
                            CountReachable(node), Now())) {
    return;
  }
  WriteLog(node.log, LogLevel::kUnusual, "endpoints lost",
           {{"endpoint", endpoint.id}});
  // These endpoints did not fail, but the way to them.
  for (const auto& [id, failed_at] : node.endpoint_path.failed) {
    RecordSuccess(node.endpoints, id);
  }
  node.speeds.own.clear();
  AnnounceSoon(node);
}

void RecordNewConnection(Node& node, const EndpointEntry& endpoint) {
  if (RecordConnectSuccess(node.endpoint_path, endpoint.id,
                           CountReachable(node))) {
    WriteLog(node.log, LogLevel::kUnusual, "endpoints regained",
             {{"endpoint", endpoint.id}});
    AnnounceSoon(node);
  }
}

EndpointConnect ToEndpointConnect(
    const tl::expected<OutConnectionPtr, ConnectError>& connected) {
  EndpointConnect done;
  if (connected) {
    done.connection = *connected;
  } else {
    done.endpoint_failed = true;
    done.refused = connected.error() == ConnectError::kRefused;
  }
  return done;
}

// Returns the endpoint after `last` in the table, the first one after the last.
// Those in evacuated zones may be stopped and prove nothing.
std::optional<EndpointEntry> NextEndpoint(const Node& node,
                                          const std::string& last) {
  const auto& endpoints = node.endpoints.endpoints;
  auto next = endpoints.upper_bound(last);
  for (size_t passed = 0; passed < endpoints.size(); ++passed) {
    next = next == endpoints.end() ? endpoints.begin() : next;
    if (!IsEvacuated(node.endpoints.evacuations, next->second.entry.zone)) {
      return next->second.entry;
    }
    ++next;
  }
  return std::nullopt;
}

}  // namespace

Task<tl::expected<OutConnectionPtr, ConnectError>> ConnectDirectly(
    Node& node,
    EndpointEntry endpoint,
    Duration max_idle,
    Duration timeout) {
  const Duration began = Now();
  const auto connected =
      co_await Connect(node.io, node.endpoint_pool, endpoint.address, max_idle,
                       std::min(kConnectTimeout, timeout));
  // A call with little time left says nothing about the way to the endpoint.
  const bool had_time = timeout >= kConnectTimeout || Now() < began + timeout;
  if (!connected && had_time) {
    RecordFailedConnect(node, endpoint);
  } else if (connected && !(*connected)->was_idle) {
    RecordNewConnection(node, endpoint);
  }
  co_return connected;
}

// Without a peer that reaches the endpoints, the endpoints may have failed and
// not the way to them, so the call is tried directly.
Task<EndpointConnect> ConnectToEndpoint(Node& node,
                                        EndpointEntry endpoint,
                                        Duration max_idle,
                                        Duration time_left,
                                        PeerFilter may_relay) {
  const Duration until = Now() + time_left;
  const bool was_cut_off = node.endpoint_path.is_cut_off;
  EndpointConnect done;
  if (!was_cut_off) {
    const auto connected =
        co_await ConnectDirectly(node, endpoint, max_idle, time_left);
    done = ToEndpointConnect(connected);
    done.endpoint_failed = !connected && !node.endpoint_path.is_cut_off;
    if (connected || done.endpoint_failed) {
      co_return done;
    }
  }
  done = co_await OpenTunnel(node, endpoint, max_idle, until - Now(),
                             std::move(may_relay));
  if (was_cut_off && done.peer.empty()) {
    done = ToEndpointConnect(
        co_await ConnectDirectly(node, endpoint, max_idle, until - Now()));
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
    const auto connected = co_await ConnectDirectly(
        node, *endpoint, Duration::zero(), kConnectTimeout);
    if (connected) {
      is_reached = true;  // the next endpoint is tried at once
      Close(**connected);
    }
  }
}

void ReturnToEndpointPool(Node& node,
                          const std::string& service,
                          const std::string& address,
                          const OutConnectionPtr& connection,
                          const AnswerHead& head) {
  size_t max_idle = kMaxIdleConnections;
  if (node.deployment != nullptr) {
    if (const auto found = node.deployment->services.find(service);
        found != node.deployment->services.end()) {
      max_idle = IdleConnectionsPerEndpoint(found->second.max_connections,
                                            node.fleet.members.size() + 1);
    }
  }
  ReturnToPool(node.endpoint_pool, address, connection, head, max_idle);
}

}  // namespace celerykeel
