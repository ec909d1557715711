#pragma once

#include "celerykeel/core/time.h"  // for Duration, WallMillis

namespace celerykeel {

/// @brief CLOCK_BOOTTIME: it goes on while the process or the machine sleeps,
/// and all processes of an instance read the same.
Duration Now();

/// @brief Milliseconds of the wall clock.
WallMillis WallNow();

}  // namespace celerykeel
