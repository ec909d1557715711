#pragma once

#include <cstdint>  // for uint32_t
#include <string>   // for std::string

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief One streamed chat call of the load.
struct LoadCall {
  std::string address;  // host:port
  std::string key;      // empty: none
  std::string program;  // empty: a program of one call
  uint32_t call = 0;
  std::string model;
  std::string prompt;
  uint32_t max_tokens = 16;
};

/// @brief When parts of the answer came, as readings of CLOCK_BOOTTIME.
struct LoadResult {
  Duration first_event_at{};
  Duration finished_at{};
  int status = 0;      // 0: no answer
  bool whole = false;  // the stream had its end
  uint64_t events = 0;
};

/// @brief Sends the call and reads its stream to the end; blocks.
LoadResult RunLoadCall(const LoadCall& call);

}  // namespace celerykeel
