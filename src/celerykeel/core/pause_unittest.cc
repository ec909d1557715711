#include <doctest/doctest.h>

#include "celerykeel/core/pause.h"  // for KeepOverPause

namespace celerykeel {
namespace {

using std::chrono::seconds;

TEST_CASE("the expected pause is the geometric mean of the tool's pauses") {
  PauseTimes times;
  CHECK(ExpectedPause(times, "booking") == Duration{});
  for (const int pause : {1, 4, 16}) {
    RecordPause(times, "booking", seconds(pause));
  }
  RecordPause(times, "approval", seconds(60));
  const std::chrono::duration<double> booking = ExpectedPause(times, "booking");
  CHECK(booking.count() == doctest::Approx(4));
  CHECK(ExpectedPause(times, "approval") > seconds(59));
}

TEST_CASE("a prefix is kept if there is room or the tool ends in time") {
  PrefixMap map{.capacity = 1000};
  RecordUsedPrompt(map, {"a", 1, 0, 500}, seconds(10));
  CHECK(KeepOverPause(map, seconds(100), seconds(20)));
  RecordUsedPrompt(map, {"b", 1, 0, 500}, seconds(15));
  CHECK_FALSE(KeepOverPause(map, seconds(100), seconds(20)));
  CHECK(KeepOverPause(map, seconds(10), seconds(20)));
}

}  // namespace
}  // namespace celerykeel
