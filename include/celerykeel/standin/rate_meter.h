#pragma once

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief Lets through `rate` units a second, and `burst` at once.
struct RateMeter {
  double rate = 0;   // units per second
  double burst = 0;  // units
  double level = 0;  // units
  Duration updated_at{};
};

/// @brief A meter that is full at `now`.
RateMeter MakeRateMeter(double rate, double burst, Duration now);

/// @brief Takes `units` if they are there.
/// @return zero, or how long until they would be; then nothing is taken.
Duration TakeUnits(RateMeter& meter, double units, Duration now);

}  // namespace celerykeel
