#include "celerykeel/node/endpoint_link.h"

#include <algorithm>  // for std::min
#include <optional>   // for std::optional
#include <utility>    // for std::move

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
  Tunnel tunnel = co_await OpenTunnel(node, endpoint, max_idle, until - Now());
  done.endpoint_failed = tunnel.endpoint_failed;
  if (tunnel.connection != nullptr) {
    done.connection = std::move(tunnel.connection);
    done.peer = std::move(tunnel.peer);
  } else if (was_cut_off && tunnel.peer.empty()) {
    done.connection =
        co_await ConnectDirectly(node, endpoint, max_idle, until - Now());
    done.endpoint_failed = done.connection == nullptr;
  }
  co_return done;
}

Task<> ProbeEndpoints(Node& node) {
  std::string last;
  while (true) {
    co_await Sleep(node.io, kProbeInterval);
    bool is_reached = node.endpoint_path.is_cut_off;
    while (is_reached && node.endpoint_path.is_cut_off) {
      const auto endpoint = NextEndpoint(node, last);
      if (!endpoint) {
        break;
      }
      last = endpoint->id;
      const OutConnectionPtr connection = co_await ConnectDirectly(
          node, *endpoint, Duration::zero(), kConnectTimeout);
      is_reached = connection != nullptr;
      if (is_reached) {
        Close(*connection);
      }
    }
  }
}

}  // namespace celerykeel
