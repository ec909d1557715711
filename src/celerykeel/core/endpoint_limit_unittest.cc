#include "celerykeel/core/endpoint_limit.h"

#include <doctest/doctest.h>

namespace celerykeel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kNow = seconds(100);

EndpointEntry EntryOfStart(WallMillis started_at) {
  EndpointEntry entry;
  entry.id = "e";
  entry.started_at = started_at;
  return entry;
}

EndpointLimit LimitAt(std::optional<double> per_second,
                      Duration answered_at,
                      WallMillis started_at = 1700) {
  return {.per_second = per_second,
          .started_at = started_at,
          .answered_at = answered_at,
          .announced = std::nullopt};
}

TEST_CASE("the newest answer decides on an endpoint's limit") {
  EndpointLimits limits;
  CHECK_FALSE(RecordLimit(limits, "e", LimitAt(std::nullopt, kNow)));
  CHECK(RecordLimit(limits, "e", LimitAt(6.5, kNow)));
  CHECK(LimitOf(limits, "e", 1700) == 6.5);

  SUBCASE("also a report of it that arrives late") {
    CHECK(RecordLimit(limits, "e", LimitAt(std::nullopt, kNow + seconds(2))));
    CHECK_FALSE(RecordLimit(limits, "e", LimitAt(6.5, kNow + seconds(1))));
    CHECK_FALSE(LimitOf(limits, "e", 1700).has_value());
  }
  SUBCASE("until the endpoint restarts") {
    CHECK_FALSE(LimitOf(limits, "e", 1900).has_value());
    CHECK(RecordLimit(limits, "e", LimitAt(3, kNow, 1900)));
    CHECK_FALSE(
        RecordLimit(limits, "e", LimitAt(std::nullopt, kNow + seconds(1))));
    CHECK(LimitOf(limits, "e", 1900) == 3);
  }
  SUBCASE("peers are notified of a large change, also by small steps") {
    CHECK_FALSE(RecordLimit(limits, "e", LimitAt(6.2, kNow + seconds(1))));
    CHECK_FALSE(RecordLimit(limits, "e", LimitAt(5.9, kNow + seconds(2))));
    CHECK(RecordLimit(limits, "e", LimitAt(5.6, kNow + seconds(3))));
    CHECK(LimitOf(limits, "e", 1700) == 5.6);
  }
  SUBCASE("a limit of 0 leaves a call now and then") {
    CHECK(RecordLimit(limits, "e", LimitAt(0, kNow + seconds(1))));
    CHECK(LimitOf(limits, "e", 1700) == kMinEndpointLimit);
  }
}

TEST_CASE("limits are dropped some time after their end") {
  EndpointTable table;
  RecordEntry(table, EntryOfStart(1700));
  EndpointLimits limits;
  RecordLimit(limits, "e", LimitAt(6, kNow));
  RecordLimit(limits, "gone", LimitAt(6, kNow));
  DropEndedLimits(limits, table, kNow + seconds(60));
  CHECK(limits.size() == 1);
  RecordLimit(limits, "e", LimitAt(std::nullopt, kNow + seconds(60)));
  DropEndedLimits(limits, table, kNow + seconds(60) + kEndedLimitTime);
  CHECK(limits.size() == 1);
  DropEndedLimits(limits, table,
                  kNow + seconds(60) + kEndedLimitTime + milliseconds(1));
  CHECK(limits.empty());
}

}  // namespace
}  // namespace celerykeel
