#include "celerykeel/load/quantiles.h"

#include <algorithm>  // for std::sort, std::min
#include <cmath>      // for std::ceil
#include <numeric>    // for std::accumulate

namespace celerykeel {

Duration Quantile(const std::vector<Duration>& sorted, double quantile) {
  if (sorted.empty()) {
    return Duration{};
  }
  const double rank = std::ceil(quantile * static_cast<double>(sorted.size()));
  const size_t index = rank < 1 ? 0 : static_cast<size_t>(rank) - 1;
  return sorted[std::min(index, sorted.size() - 1)];
}

LatencySummary Summarize(std::vector<Duration> values) {
  if (values.empty()) {
    return {};
  }
  std::sort(values.begin(), values.end());
  const Duration sum =
      std::accumulate(values.begin(), values.end(), Duration{});
  return {.count = values.size(),
          .mean = sum / static_cast<int64_t>(values.size()),
          .p50 = Quantile(values, 0.50),
          .p95 = Quantile(values, 0.95),
          .p99 = Quantile(values, 0.99)};
}

}  // namespace celerykeel
