#include "celerykeel/standin/rate_meter.h"

#include <algorithm>  // for std::min
#include <chrono>     // for std::chrono::duration

namespace celerykeel {

RateMeter MakeRateMeter(double rate, double burst, Duration now) {
  return {.rate = rate, .burst = burst, .level = burst, .updated_at = now};
}

Duration TakeUnits(RateMeter& meter, double units, Duration now) {
  const std::chrono::duration<double> passed = now - meter.updated_at;
  meter.level =
      std::min(meter.burst, meter.level + passed.count() * meter.rate);
  meter.updated_at = now;
  if (meter.level >= units) {
    meter.level -= units;
    return {};
  }
  const std::chrono::duration<double> wait((units - meter.level) / meter.rate);
  // Rounded up, so that the units are there when the wait is over.
  return std::chrono::ceil<Duration>(wait);
}

}  // namespace celerykeel
