#pragma once

#include <functional>   // for std::function
#include <memory>       // for std::unique_ptr, std::shared_ptr
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include <prometheus/registry.h>  // for prometheus::Registry
#include <tl/expected.hpp>        // for tl::expected

namespace celerykeel {

/// @brief The address could not be listened on.
struct ListenError {
  std::string address;
};

struct OperatorServerOptions {
  std::string listen;  // host:port
  std::shared_ptr<prometheus::Registry> registry;
  std::function<bool()> is_ready;  // for /readyz
};

/// @brief HTTP for operators: /healthz, /readyz and /metrics.
class OperatorServer {
 public:
  static tl::expected<std::unique_ptr<OperatorServer>, ListenError> Create(
      OperatorServerOptions options);

  ~OperatorServer();

 private:
  struct State;
  explicit OperatorServer(std::unique_ptr<State> initial);

  std::unique_ptr<State> state;
};

}  // namespace celerykeel
