#pragma once

#include "celerykeel/core/time.h"  // for Duration, WallMillis

namespace celerykeel {

/// @brief Reads CLOCK_BOOTTIME, which advances while the process or the machine
/// is suspended and is the same for all processes of an instance.
Duration Now();

/// @brief Reads the wall clock, in Unix milliseconds.
WallMillis WallNow();

}  // namespace celerykeel
