#pragma once

#include <algorithm>  // for std::max
#include <cstdint>    // for uint32_t

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief Returns whole milliseconds; 0 for a negative duration.
inline uint32_t Millis(Duration duration) {
  return static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::max(duration, Duration::zero()))
          .count());
}

}  // namespace celerykeel
