#pragma once

#include <map>          // for std::map
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/prefix_map.h"  // for PrefixMap
#include "celerykeel/core/time.h"        // for Duration

namespace celerykeel {

/// @brief How long programs pause after calls that name a tool: the moving
/// mean of the logarithm, as pauses have heavy tails.
struct PauseTimes {
  struct Tool {
    double log_seconds = 0;
    uint64_t count = 0;
  };
  std::map<std::string, Tool, std::less<>> tools;
};

void NotePause(PauseTimes& times, std::string_view tool, Duration pause);

/// @brief The middle of the tool's pauses; zero for one not seen yet.
Duration ExpectedPause(const PauseTimes& times, std::string_view tool);

/// @brief Whether an endpoint should keep a program's prefix while its tool
/// runs. It is kept if there is room, or if the tool should end before the
/// endpoint would evict the prefix; else it only drives out others.
///
///     if (!KeepOverPause(book.held, ExpectedPause(times, "booking"), now)) {
///       // release the program's prefix at the endpoint
///     }
bool KeepOverPause(const PrefixMap& map, Duration expected, Duration now);

}  // namespace celerykeel
