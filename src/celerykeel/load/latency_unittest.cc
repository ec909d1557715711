#include <doctest/doctest.h>

#include "celerykeel/load/arrivals.h"   // for PoissonArrivals
#include "celerykeel/load/quantiles.h"  // for Quantile, Summarize

namespace celerykeel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("equal seeds give equal arrivals, other seeds others") {
  CHECK(PoissonArrivals(20, seconds(10), 7) ==
        PoissonArrivals(20, seconds(10), 7));
  CHECK(PoissonArrivals(20, seconds(10), 7) !=
        PoissonArrivals(20, seconds(10), 8));
}

TEST_CASE("arrivals have the rate asked for and stay in the span") {
  const auto times = PoissonArrivals(100, seconds(100), 1);
  CHECK(times.size() > 9'500);
  CHECK(times.size() < 10'500);
  CHECK(times.back() < seconds(100));
}

TEST_CASE("quantiles of a hundred values") {
  std::vector<Duration> values;
  for (int i = 100; i >= 1; --i) {
    values.push_back(milliseconds(i));
  }
  const LatencySummary summary = Summarize(values);
  CHECK(summary.p50 == milliseconds(50));
  CHECK(summary.p95 == milliseconds(95));
  CHECK(summary.p99 == milliseconds(99));
  CHECK(summary.count == 100);
  CHECK(Summarize({}).p99 == Duration{});
}

}  // namespace
}  // namespace celerykeel
