#pragma once

#include <chrono>      // for std::chrono::milliseconds
#include <functional>  // for std::function
#include <thread>      // for std::this_thread::sleep_for

namespace celerykeel::testing {

/// @brief Polls until the condition holds, for at most 20 s.
inline bool WaitFor(const std::function<bool()>& condition) {
  constexpr int kMaxPolls = 400;
  for (int i = 0; i < kMaxPolls; ++i) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return false;
}

}  // namespace celerykeel::testing
