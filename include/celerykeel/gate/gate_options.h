#pragma once

#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/time.h"         // for Duration
#include "celerykeel/gate/gate_server.h"  // for GateServerOptions
#include "celerykeel/net/settings.h"      // for SettingsReader

namespace celerykeel {

struct GateOptions {
  GateServerOptions server;
  std::string rate;             // host:port, for other gates
  std::string feed;             // host:port of the instance's steward
  std::string operator_listen;  // host:port of /healthz, /readyz, /metrics
  Duration drain_grace = std::chrono::seconds(2);
};

/// @brief The docopt text of celerykeel-gate.
std::string_view GateUsage();

/// @brief Reads the options; mistakes stay in the reader.
GateOptions ReadGateOptions(SettingsReader& reader);

}  // namespace celerykeel
