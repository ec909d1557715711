#pragma once

#include <cstddef>     // for size_t
#include <functional>  // for std::function
#include <memory>      // for std::unique_ptr
#include <string>      // for std::string

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/time.h"            // for Duration
#include "celerykeel/gate/gate_metrics.h"    // for GateMetrics
#include "celerykeel/gate/owner_link.h"      // for OwnerLink
#include "celerykeel/gate/rate_service.h"    // for RateService
#include "celerykeel/net/feed_client.h"      // for FleetView
#include "celerykeel/net/http_guard.h"       // for HttpServerOptions
#include "celerykeel/net/operator_server.h"  // for ListenError

namespace celerykeel {

struct GateServerOptions {
  std::string listen;  // host:port
  HttpServerOptions limits{.threads = 512};
  Duration owner_patience = std::chrono::seconds(15);
  Duration config_patience = std::chrono::seconds(4);
};

/// @brief What a gate's server works with; all outlive it.
struct GateParts {
  std::function<FleetView()> view;
  OwnerLink* link = nullptr;
  RateService* rates = nullptr;    // null: every request is within its rate
  GateMetrics* metrics = nullptr;  // may be null
};

/// @brief The callers' HTTP: chat, services, programs.
class GateServer {
 public:
  static tl::expected<std::unique_ptr<GateServer>, ListenError> Create(
      GateServerOptions options,
      GateParts parts);

  ~GateServer();

  /// @brief From now on each answer closes its connection.
  void CloseConnectionsAfterAnswers();

  size_t OpenConnections() const;

  /// @brief Connections refused for want of a free thread, so far.
  size_t RefusedConnections() const;

  /// @brief Takes no more connections; returns when the last answer is out.
  void Stop();

 private:
  struct State;
  explicit GateServer(std::unique_ptr<State> initial);

  std::unique_ptr<State> state;
};

}  // namespace celerykeel
