#pragma once

#include <memory>  // for std::shared_ptr
#include <string>  // for std::string

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/node.pb.h"         // for pb::IsolatedEndpoint
#include "celerykeel/node/call_path.h"  // for CallPtr

namespace celerykeel {

struct Node;

/// @brief Reserves an endpoint for one call: the other calls of all instances
/// go to other endpoints. At the end of its life the endpoint stays reserved
/// for a moment for other calls that must run alone.
class Isolation {
 public:
  Isolation(Node& isolating_node, std::string isolated_endpoint);
  ~Isolation();
  Isolation(const Isolation&) = delete;
  Isolation& operator=(const Isolation&) = delete;

  const std::string& Endpoint() const { return this->endpoint; }  // id

 private:
  Node& node;
  std::string endpoint;
  std::string instance;  // of this process
};
using IsolationPtr = std::shared_ptr<Isolation>;

/// @brief No endpoint was free in time to run the call alone.
struct NotIsolated {};

/// @brief Reserves an endpoint and waits a while for the end of the calls that
/// it runs. The services keep most of their endpoints for other calls.
Task<tl::expected<IsolationPtr, NotIsolated>> IsolateEndpoint(Node& node,
                                                              CallPtr call);

/// @brief Applies what a peer reports. If this instance has calls at the
/// endpoint, it reports its load soon.
void ApplyIsolationNews(Node& node, const pb::IsolatedEndpoint& news);

/// @brief Reports to the peers which isolations have ended.
void ReportEndedIsolations(Node& node);

}  // namespace celerykeel
