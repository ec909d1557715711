#pragma once

#include <cstdint>      // for uint64_t
#include <map>          // for std::map
#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief What happens to a request while a fault is on.
enum class FaultMode {
  kRefuse,  // 503 at once
  kClose,   // the connection is closed without an answer
  kHang,    // held until the fault ends, then closed without effect
  kLate,    // held until the fault ends, then served
};

/// @brief The faults that a test has switched on.
struct PlatformFaults {
  std::optional<FaultMode> outage;                     // for all clients
  std::map<std::string, FaultMode, std::less<>> cuts;  // by client
  std::map<std::string, uint64_t, std::less<>> lost;   // answers, by client
  Duration delay{};                                    // before an answer
};

std::optional<FaultMode> ParseFaultMode(std::string_view text);

/// @brief What to do with a request of `client` now; nothing: serve it.
std::optional<FaultMode> FindFault(const PlatformFaults& faults,
                                   std::string_view client);

/// @brief Whether the answer to this append is to be lost; counts it. The
/// empty name in `lost` stands for any client.
bool TakeLostAnswer(PlatformFaults& faults, std::string_view client);

}  // namespace celerykeel
