#include "celerykeel/core/pause.h"

#include <algorithm>  // for std::max
#include <cmath>      // for std::exp, std::log

namespace celerykeel {

namespace {

constexpr double kMinGain = 0.02;      // min weight of a new pause in the mean
constexpr double kMinSeconds = 0.001;  // keeps the logarithm finite
// Part of the capacity from which the cache counts as full.
constexpr double kFullThreshold = 0.95;

}  // namespace

void RecordPause(PauseTimes& times, std::string_view tool, Duration pause) {
  PauseTimes::Tool& known = times.tools[std::string(tool)];
  ++known.count;
  const double gain = std::max(kMinGain, 1 / static_cast<double>(known.count));
  const double seconds =
      std::max(std::chrono::duration<double>(pause).count(), kMinSeconds);
  known.mean_log_seconds += gain * (std::log(seconds) - known.mean_log_seconds);
}

Duration ExpectedPause(const PauseTimes& times, std::string_view tool) {
  const auto found = times.tools.find(tool);
  if (found == times.tools.end()) {
    return {};
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::exp(found->second.mean_log_seconds)));
}

// The time since the last use of the prefix that is evicted next is the time
// for which prefixes stay in the cache.
bool KeepOverPause(const PrefixMap& map, Duration expected, Duration now) {
  if (map.by_use.empty() ||
      static_cast<double>(map.held) <
          kFullThreshold * static_cast<double>(map.capacity)) {
    return true;
  }
  return expected <= now - map.by_use.begin()->first;
}

}  // namespace celerykeel
