#pragma once

#include <cstddef>  // for size_t
#include <cstdint>  // for uint64_t
#include <memory>   // for std::unique_ptr
#include <string>   // for std::string

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/time.h"            // for Duration, WallMillis
#include "celerykeel/net/operator_server.h"  // for ListenError

namespace celerykeel {

struct PlatformOptions {
  std::string listen;  // host:port; port 0 takes any free port
  size_t threads = 256;
  WallMillis retention_ms = 3'600'000;
  uint64_t append_rate = 400;  // requests per second
  Duration list_lag{};
  uint64_t weights_rate = 200'000'000;  // bytes per second, all readers
};

/// @brief Stand-in for the platform: the append-only log, the lagging list of
/// instances and the rate-limited weight store, with faults on request.
class PlatformServer {
 public:
  static tl::expected<std::unique_ptr<PlatformServer>, ListenError> Create(
      const PlatformOptions& options);

  ~PlatformServer();

  int Port() const;

 private:
  struct State;
  explicit PlatformServer(std::unique_ptr<State> initial);

  std::unique_ptr<State> state;
};

}  // namespace celerykeel
