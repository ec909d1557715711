#pragma once

#include <cstddef>  // for size_t
#include <cstdint>  // for uint32_t, uint64_t
#include <memory>   // for std::unique_ptr
#include <string>   // for std::string

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/time.h"               // for Duration
#include "celerykeel/net/operator_server.h"     // for ListenError
#include "celerykeel/standin/engine_batcher.h"  // for EngineLimits

namespace celerykeel {

struct EngineServerOptions {
  std::string listen;  // host:port; port 0 takes any free port
  std::string model;
  size_t threads = 256;
  EngineLimits limits;
  bool checks_fencing = false;  // refuses what has an older fencing number
  Duration event_lag = std::chrono::milliseconds(200);
  uint32_t event_loss_permille = 0;
  uint64_t seed = 1;  // picks the cache events that are lost
  Duration load_lag = std::chrono::milliseconds(200);
  Duration resume_grace = std::chrono::seconds(1);
  Duration load_time = std::chrono::milliseconds(500);  // of a model
  double transfer_tokens_per_second = 1'000'000;        // of exports
};

struct EngineState;

/// @brief Stand-in for a model engine, with faults on request.
class EngineServer {
 public:
  static tl::expected<std::unique_ptr<EngineServer>, ListenError> Create(
      const EngineServerOptions& options);

  ~EngineServer();

  int Port() const;

 private:
  explicit EngineServer(std::unique_ptr<EngineState> initial);

  std::unique_ptr<EngineState> state;
};

}  // namespace celerykeel
