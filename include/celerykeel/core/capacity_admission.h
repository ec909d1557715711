#pragma once

#include <cstdint>      // for uint32_t, uint64_t
#include <map>          // for std::map
#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/time.h"  // for Duration, WallMillis

namespace celerykeel {

/// @brief Load of a service as its instances last reported it.
struct ServiceLoad {
  double slots = 0;      // of the endpoints that take calls
  double in_flight = 0;  // calls sent to them, including those that wait there
  std::map<std::string, double, std::less<>> by_team;  // part of `in_flight`
};

/// @brief Decides whether programs may begin at a service whose slots are all
/// taken. Calls of programs in progress are never held back.
struct CapacityGate {
  ServiceLoad load;
  double fullness = 0;  // calls in flight per slot, averaged
  std::optional<Duration> updated_at;
  std::optional<Duration> waiting_since;  // calls wait at the endpoints
  bool is_full = false;
  double excess = 0;  // sum over time of calls per slot above the target
  double share = 1;   // of the new programs that may begin
};

/// @brief A program's first call.
struct NewProgram {
  std::string_view team;
  uint64_t hash = 0;         // see HashOfProgram
  uint32_t priority = 0;     // of its team or route; 0 is the most urgent
  uint32_t most_urgent = 0;  // priority among the service's routes
};

/// @brief Applies a new report of the load.
void UpdateGate(CapacityGate& gate, ServiceLoad load, Duration now);

/// @brief True if the gate may refuse programs within the next reports. Only
/// then the calls of each team are needed.
bool MayRefuseSoon(const CapacityGate& gate);

/// @brief Returns when a program that may not begin now should return, counted
/// from now; nothing if it may begin. All instances with the same report decide
/// alike: at any time, the programs whose hash is in a window may begin. The
/// window moves, so that each refused program has a time at which it may begin.
std::optional<Duration> RefuseIfFull(const CapacityGate& gate,
                                     const NewProgram& program,
                                     WallMillis wall_now);

}  // namespace celerykeel
