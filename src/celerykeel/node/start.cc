#include "celerykeel/node/start.h"

#include <random>  // for std::random_device

#include "celerykeel/base/clock.h"          // for Now
#include "celerykeel/node/asio.h"           // for Spawn
#include "celerykeel/node/attempts.h"       // for kMaxIdleUnlessIdempotent
#include "celerykeel/node/caller_server.h"  // for ServeCallers
#include "celerykeel/node/endpoint_feed.h"  // for FollowEndpoints
#include "celerykeel/node/endpoint_link.h"  // for ProbeEndpoints
#include "celerykeel/node/feeds.h"          // for FollowDeployment
#include "celerykeel/node/fleet.h"          // for RunFleet
#include "celerykeel/node/peer_answer.h"    // for ServePeers
#include "celerykeel/node/store_client.h"   // for ProbeStore
#include "celerykeel/node/version_feed.h"   // for FollowVersions

namespace celerykeel {

namespace {

Incarnation DrawIncarnation() {
  std::random_device random;
  return (uint64_t{random()} << 32U) | random();
}

}  // namespace

void StartNode(Node& node) {
  node.incarnation = DrawIncarnation();
  node.start.started_at = Now();
  node.endpoint_pool.spared_idle = kMaxIdleUnlessIdempotent;
  node.fleet.self = node.options.instance;
  node.fleet.slots.resize(node.options.store_partitions);
  WriteLog(node.log, LogLevel::kUnusual, "started",
           {{"incarnation", node.incarnation},
            {"zone", node.options.zone},
            {"callers", node.options.callers_address},
            {"store", node.options.store_address}});
  Spawn(node.io, ServeReadiness(node));
  Spawn(node.io, ServeMetrics(node));
  Spawn(node.io, ServePeers(node));
  Spawn(node.io, FollowDeployment(node));
  Spawn(node.io, FollowEndpoints(node));
  Spawn(node.io, FollowVersions(node));
  Spawn(node.io, ReadStoredCrashes(node));
  Spawn(node.io, ProbeEndpoints(node));
  Spawn(node.io, RunMembership(node));
  Spawn(node.io, ProbeStore(node));
  Spawn(node.io, RunFleet(node));
  Spawn(node.io, ServeCallers(node));
}

}  // namespace celerykeel
