#pragma once

#include <cstddef>      // for size_t
#include <cstdint>      // for uint32_t
#include <map>          // for std::map
#include <set>          // for std::set
#include <span>         // for std::span
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief Whether this instance reaches the endpoints, judged by its new
/// connections: older ones may live on while new ones are refused.
struct EndpointPath {
  bool is_cut_off = false;
  // Endpoints that could not be connected to since the last success, with the
  // time of the failure.
  std::map<std::string, Duration, std::less<>> failed;
  // While cut off: endpoints connected to since the last failure.
  std::set<std::string, std::less<>> reached;
};

/// @brief Records that an endpoint could not be connected to. The instance is
/// cut off if this happens at `kCutOffFailures` endpoints in a row, or at all
/// of them.
/// @param endpoints number of known endpoints.
/// @return true if the instance is cut off now and was not before.
bool RecordConnectFailure(EndpointPath& path,
                          std::string_view endpoint,
                          size_t endpoints,
                          Duration now);

/// @brief Records a new connection to an endpoint. An instance that is cut off
/// is connected again once it reached `kReturnSuccesses` endpoints in a row, or
/// all of them.
/// @return true if the instance is connected again now.
bool RecordConnectSuccess(EndpointPath& path,
                          std::string_view endpoint,
                          size_t endpoints);

/// @brief A peer that reaches the endpoints.
struct TunnelPeer {
  std::string instance;
  bool is_in_zone = false;  // of this instance
  uint32_t tunnels = 0;     // open from this instance
};

/// @brief Chooses the peer for a tunnel: few open tunnels, preferably in the
/// own availability zone.
/// @param subject differs between tunnels, so that equal peers are used evenly.
/// @return nullptr if there is none.
const TunnelPeer* ChooseTunnelPeer(std::span<const TunnelPeer> peers,
                                   std::string_view subject);

inline constexpr size_t kCutOffFailures = 2;
inline constexpr size_t kReturnSuccesses = 3;
/// @brief Earlier failures are not counted.
inline constexpr Duration kConnectFailureWindow = std::chrono::seconds(2);

}  // namespace celerykeel
