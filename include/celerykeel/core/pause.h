#pragma once

#include <map>          // for std::map
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/prefix_map.h"  // for PrefixMap
#include "celerykeel/core/time.h"        // for Duration

namespace celerykeel {

/// @brief Duration of program pauses after calls that name a tool. The moving
/// mean of each tool is one of logarithms, since pauses have heavy tails.
struct PauseTimes {
  struct Tool {
    double mean_log_seconds = 0;
    uint64_t count = 0;
  };
  std::map<std::string, Tool, std::less<>> tools;
};

void RecordPause(PauseTimes& times, std::string_view tool, Duration pause);

/// @brief Returns the geometric mean of the tool's pauses; zero for an unknown
/// tool.
Duration ExpectedPause(const PauseTimes& times, std::string_view tool);

/// @brief True if an endpoint should keep a program's prefix while its tool
/// runs: if there is room, or if the tool is expected to end before the
/// endpoint would evict the prefix. Otherwise the prefix would only displace
/// others.
///
///     if (!KeepOverPause(book.held, ExpectedPause(times, "booking"), now)) {
///       // release the program's prefix at the endpoint
///     }
bool KeepOverPause(const PrefixMap& map, Duration expected, Duration now);

}  // namespace celerykeel
