#pragma once

#include <memory>  // for std::unique_ptr
#include <string>  // for std::string

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/time.h"            // for Duration
#include "celerykeel/net/operator_server.h"  // for ListenError

namespace celerykeel {

struct LinkOptions {
  std::string listen;   // host:port; port 0 takes any free port
  std::string to;       // host:port
  std::string control;  // host:port; port 0 takes any free port
  Duration delay{};     // in each direction
};

/// @brief Stand-in for a network link: forwards TCP connections, and can be
/// cut and healed by POST /control/cut?on=1[&mode=hang].
class LinkServer {
 public:
  static tl::expected<std::unique_ptr<LinkServer>, ListenError> Create(
      const LinkOptions& options);

  ~LinkServer();

  int Port() const;
  int ControlPort() const;

 private:
  struct State;
  explicit LinkServer(std::unique_ptr<State> initial);

  std::unique_ptr<State> state;
};

}  // namespace celerykeel
