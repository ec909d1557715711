#pragma once

#include <chrono>   // for std::chrono::nanoseconds
#include <cstdint>  // for int64_t

namespace celerykeel {

/// @brief A time span, or a CLOCK_BOOTTIME reading if the variable is named
/// `now` or `until`, or ends in `_at`, `_until` or `_from`. Core code
/// never reads a clock.
using Duration = std::chrono::nanoseconds;

/// @brief Wall-clock time in milliseconds, for display and for records that
/// are kept across reboots.
using WallMillis = int64_t;

}  // namespace celerykeel
