#pragma once

#include <chrono>   // for std::chrono::nanoseconds
#include <cstdint>  // for int64_t

namespace celerykeel {

/// @brief A span of time, or a reading of CLOCK_BOOTTIME when a parameter is
/// named `now` or ends in `_at` or `_until`. The core never reads a clock.
using Duration = std::chrono::nanoseconds;

/// @brief Milliseconds of the wall clock, for people and for records that
/// outlive a boot.
using WallMillis = int64_t;

}  // namespace celerykeel
