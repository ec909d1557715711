#include "celerykeel/core/newcomer_gate.h"

#include <doctest/doctest.h>

#include <queue>   // for std::priority_queue
#include <vector>  // for std::vector

namespace celerykeel {
namespace {

using std::chrono::milliseconds;

constexpr RateLimits kLimits{.rate = 20, .burst = 20};
constexpr int kRequests = 12;  // of one program
constexpr Duration kBetween = milliseconds(200);
constexpr Duration kRetry = milliseconds(600);
constexpr int kMostTries = 3;

struct Event {
  Duration at{};
  int left = kRequests;
  int tries = 0;
  bool operator<(const Event& other) const { return this->at > other.at; }
};

// A team begins `programs_per_s` programs for 30 s and is limited to
// kLimits. @return programs that were served whole.
int ServedWhole(double programs_per_s, bool gated) {
  std::priority_queue<Event> events;
  for (int i = 0; i < int(30 * programs_per_s); ++i) {
    events.push({.at = Duration(int64_t(1e9 * i / programs_per_s))});
  }
  TokenBucket bucket{.level = kLimits.burst, .updated_at = {}};
  NewcomerGate gate;
  int served = 0;
  while (!events.empty()) {
    Event event = events.top();
    events.pop();
    Refill(bucket, kLimits.rate, kLimits.burst, event.at);
    const bool newcomer = event.left == kRequests;
    const bool admitted =
        (!gated || !newcomer ||
         AdmitNewcomer(gate, bucket.level, kLimits, event.at)) &&
        Take(bucket, 1, kLimits.rate).has_value();
    if (admitted) {
      NoteTokensUsed(gate, 1, event.at);
      event.left -= 1;
      event.tries = 0;
      event.at += kBetween;
    } else {
      event.tries += 1;
      event.at += kRetry;
    }
    if (event.left == 0) {
      ++served;
    } else if (event.tries < kMostTries) {
      events.push(event);
    }
  }
  return served;
}

TEST_CASE("a team at three times its rate: programs under way come first") {
  const int first_come = ServedWhole(5, false);
  const int gated = ServedWhole(5, true);
  MESSAGE("served whole: " << gated << ", first come first served "
                           << first_come);
  CHECK(gated >= 1.3 * first_come);
  // At 20 tokens a second, 30 s and a burst carry 51 programs of 12.
  CHECK(gated >= 35);
}

// A program needs more tokens than a small team has in two seconds.
TEST_CASE("a small team with no program under way may begin one") {
  const RateLimits small{.rate = 3, .burst = 4};
  NewcomerGate gate;
  const Duration now = milliseconds(100);
  CHECK(AdmitNewcomer(gate, 1, small, now));
  CHECK_FALSE(AdmitNewcomer(gate, 1, small, now));
  NoteTokensUsed(gate, 12, now);
  CHECK(AdmitNewcomer(gate, 1, small, now));
}

TEST_CASE("a team within its rate is not held back") {
  CHECK(ServedWhole(1, true) == ServedWhole(1, false));
  CHECK(ServedWhole(1, true) == 30);
}

}  // namespace
}  // namespace celerykeel
