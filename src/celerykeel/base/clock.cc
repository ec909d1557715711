#include "celerykeel/base/clock.h"

#include <time.h>  // for clock_gettime

#include <chrono>  // for std::chrono::system_clock

namespace celerykeel {

Duration Now() {
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return std::chrono::seconds(reading.tv_sec) +
         std::chrono::nanoseconds(reading.tv_nsec);
}

WallMillis WallNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace celerykeel
