#pragma once

#include <cstddef>  // for size_t
#include <memory>   // for std::unique_ptr
#include <string>   // for std::string

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/net/operator_server.h"  // for ListenError

namespace celerykeel {

struct ServiceOptions {
  std::string listen;  // host:port; port 0 takes any free port
  size_t threads = 256;
  bool checks_fencing = false;  // refuses calls with an older fencing number
};

/// @brief Stand-in for a plain service: counts how often each call ran, with
/// faults on request.
class ServiceServer {
 public:
  static tl::expected<std::unique_ptr<ServiceServer>, ListenError> Create(
      const ServiceOptions& options);

  ~ServiceServer();

  int Port() const;

 private:
  struct State;
  explicit ServiceServer(std::unique_ptr<State> initial);

  std::unique_ptr<State> state;
};

}  // namespace celerykeel
