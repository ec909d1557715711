#pragma once

#include <cstdint>  // for uint64_t
#include <vector>   // for std::vector

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief Times of a Poisson process of `rate` per second over `span`, from
/// the start of the run. Equal seeds give equal times.
///
///     PoissonArrivals(20, std::chrono::seconds(10), 7);  // about 200 times
std::vector<Duration> PoissonArrivals(double rate,
                                      Duration span,
                                      uint64_t seed);

}  // namespace celerykeel
