#include "celerykeel/core/link_rate.h"

namespace celerykeel {

namespace {

constexpr double kBytesPerMbit = 1e6 / 8;

}  // namespace

size_t BytesWithin(double mbps, Duration time) {
  return static_cast<size_t>(mbps * kBytesPerMbit *
                             std::chrono::duration<double>(time).count());
}

Duration TransferTime(double mbps, size_t bytes) {
  if (mbps <= 0) {
    return Duration::zero();
  }
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(bytes) / (mbps * kBytesPerMbit)));
}

}  // namespace celerykeel
