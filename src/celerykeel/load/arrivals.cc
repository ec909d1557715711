#include "celerykeel/load/arrivals.h"

#include <random>  // for std::mt19937_64, std::exponential_distribution

namespace celerykeel {

std::vector<Duration> PoissonArrivals(double rate,
                                      Duration span,
                                      uint64_t seed) {
  std::mt19937_64 engine(seed);
  std::exponential_distribution<double> gap_seconds(rate);
  std::vector<Duration> times;
  Duration at{};
  while (true) {
    at += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap_seconds(engine)));
    if (at >= span) {
      return times;
    }
    times.push_back(at);
  }
}

}  // namespace celerykeel
