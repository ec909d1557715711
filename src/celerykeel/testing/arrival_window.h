#pragma once

#include <algorithm>  // for std::max
#include <cstddef>    // for size_t
#include <span>       // for std::span

namespace celerykeel::testing {

/// @brief Returns the largest number of arrivals within any window.
/// @param arrivals times in ascending order.
template <typename Time, typename Window>
size_t MostInWindow(std::span<const Time> arrivals, Window window) {
  size_t most = 0;
  for (size_t first = 0, next = 0; next < arrivals.size(); ++next) {
    while (arrivals[next] - arrivals[first] >= window) {
      ++first;
    }
    most = std::max(most, next - first + 1);
  }
  return most;
}

}  // namespace celerykeel::testing
