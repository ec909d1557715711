#pragma once

#include <cstddef>  // for size_t
#include <cstdint>  // for uint64_t
#include <memory>   // for std::unique_ptr
#include <string>   // for std::string

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/time.h"            // for Duration
#include "celerykeel/net/operator_server.h"  // for ListenError

namespace celerykeel {

struct EngineServerOptions {
  std::string listen;  // host:port; port 0 takes any free port
  std::string model;
  size_t threads = 256;
};

/// @brief Stand-in for a model engine, with faults on request.
class EngineServer {
 public:
  static tl::expected<std::unique_ptr<EngineServer>, ListenError> Create(
      const EngineServerOptions& options);

  ~EngineServer();

  int Port() const;

 private:
  struct State;
  explicit EngineServer(std::unique_ptr<State> initial);

  std::unique_ptr<State> state;
};

}  // namespace celerykeel
