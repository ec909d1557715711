#include "celerykeel/core/outage_estimate.h"

#include <doctest/doctest.h>

#include <set>  // for std::set

namespace celerykeel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

OutageEstimate AfterOutages(std::initializer_list<int> lengths) {
  OutageEstimate estimate;
  Duration now = seconds(10);
  for (const int length : lengths) {
    BeginOutage(estimate, now, now);
    now += seconds(length);
    EndOutage(estimate, now);
    now += seconds(5);
  }
  BeginOutage(estimate, seconds(1000), seconds(1000));
  return estimate;
}

TEST_CASE("the first outage is assumed to be a usual one") {
  const OutageEstimate estimate = AfterOutages({});
  CHECK(ExpectedOutageLeft(estimate, seconds(1002)) ==
        kUsualOutage - seconds(2));
  CHECK(ExpectedOutageLeft(estimate, seconds(1012)) == seconds(4));
  CHECK(ExpectedOutageLeft({}, seconds(1)) == Duration::zero());
}

TEST_CASE("what is left is the mean of longer outages") {
  const OutageEstimate estimate = AfterOutages({3, 7, 9});
  CHECK(ExpectedOutageLeft(estimate, seconds(1004)) == seconds(4));
  CHECK(ExpectedOutageLeft(estimate, seconds(1008)) == seconds(1));
  CHECK(ExpectedOutageLeft(estimate, seconds(1012)) == seconds(4));
}

// Guards against a Retry-After of 20 ms or of minutes.
TEST_CASE("the estimate is bounded, and single lost answers don't count") {
  const OutageEstimate estimate = AfterOutages({3, 200, 0});
  CHECK(ExpectedOutageLeft(estimate, seconds(1003) + milliseconds(1)) ==
        kLongestWait);
  CHECK(estimate.count == 2);
  CHECK(ExpectedOutageLeft(AfterOutages({3}),
                           seconds(1003) - milliseconds(1)) == kShortestWait);
  OutageEstimate many;
  for (int i = 0; i < 100; ++i) {
    BeginOutage(many, seconds(10 * i), seconds(10 * i));
    EndOutage(many, seconds(10 * i + 3));
  }
  BeginOutage(many, seconds(5000), seconds(5000));
  CHECK(ExpectedOutageLeft(many, seconds(5001)) == seconds(2));
}

// Guards against calls that are held although the store will not return in
// their time, and against turns that fail in an outage that they could bridge.
TEST_CASE("a call waits unless the store will not return in its time") {
  const OutageEstimate estimate = AfterOutages({9});
  CHECK(WorthwhileWait(estimate, seconds(9), seconds(1001)) == seconds(3));
  CHECK(WorthwhileWait(estimate, seconds(6), seconds(1001)) ==
        Duration::zero());
  CHECK(WorthwhileWait(estimate, seconds(6),
                       seconds(1000) + milliseconds(100)) == milliseconds(500));
  CHECK(WorthwhileWait({}, seconds(6), seconds(1001)) == seconds(2));
  OutageEstimate first;
  BeginOutage(first, seconds(1000), seconds(1000));
  CHECK(WorthwhileWait(first, seconds(3), seconds(1001)) == seconds(1));
}

// Guards against a turn that runs and can't be recorded.
TEST_CASE("a turn runs in an outage only if it can be recorded afterwards") {
  const OutageEstimate estimate = AfterOutages({3});
  CHECK(CanBeRecordedInTime(estimate, seconds(4), seconds(1001)));
  CHECK_FALSE(CanBeRecordedInTime(estimate, seconds(3), seconds(1001)));
}

// Guards against callers that all return at the moment of the store's return,
// and against a time that no caller waits for.
TEST_CASE("callers return after the outage, spread, within their time") {
  std::set<Duration> times;
  for (int i = 0; i <= 10; ++i) {
    const Duration after =
        RetryAfterOutage(seconds(1), seconds(5), double(i) / 10);
    CHECK(after >= seconds(1));
    CHECK(after <= milliseconds(1500));
    times.insert(after);
    CHECK(RetryAfterOutage(seconds(4), seconds(1), double(i) / 10) <=
          seconds(1));
    CHECK(RetryAfterOutage(seconds(4), seconds(1), double(i) / 10) >=
          milliseconds(750));
  }
  CHECK(times.size() == 11);
}

}  // namespace
}  // namespace celerykeel
