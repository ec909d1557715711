#pragma once

#include <vector>  // for std::vector

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief The value at or below which a share `quantile` of `sorted` lies;
/// zero for no values.
/// @param sorted ascending.
Duration Quantile(const std::vector<Duration>& sorted, double quantile);

struct LatencySummary {
  size_t count = 0;
  Duration mean{};
  Duration p50{};
  Duration p95{};
  Duration p99{};
};

LatencySummary Summarize(std::vector<Duration> values);

}  // namespace celerykeel
