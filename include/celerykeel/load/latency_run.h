#pragma once

#include <cstdint>  // for uint32_t, uint64_t
#include <string>   // for std::string
#include <vector>   // for std::vector

#include "celerykeel/core/time.h"       // for Duration
#include "celerykeel/load/quantiles.h"  // for LatencySummary

namespace celerykeel {

/// @brief A run that sends calls by turns through the fleet and straight to
/// an endpoint, so that both meet the same endpoint in the same seconds.
struct LatencyRunOptions {
  std::vector<std::string> gates;    // host:port
  std::vector<std::string> engines;  // host:port
  std::string key;
  std::string model = "assistant";
  double rate = 20;  // calls per second, both ways together
  Duration span = std::chrono::seconds(10);
  uint32_t max_tokens = 16;
  uint32_t threads = 64;
  uint64_t seed = 1;
};

struct PathLatency {
  LatencySummary first_token;
  LatencySummary whole_call;
  size_t failed = 0;
  uint64_t events = 0;
};

struct LatencyReport {
  PathLatency direct;
  PathLatency through;
  size_t late_starts = 0;  // sent over 5 ms after they were due
};

/// @brief Runs the load; latencies count from when a call was due, so that a
/// slow answer does not hide the calls behind it.
LatencyReport RunLatency(const LatencyRunOptions& options);

std::string RenderTable(const LatencyReport& report);
std::string RenderJson(const LatencyReport& report);

}  // namespace celerykeel
