#include "celerykeel/core/newcomer_gate.h"

#include <doctest/doctest.h>

#include <queue>   // for std::priority_queue
#include <vector>  // for std::vector

namespace celerykeel {
namespace {

using std::chrono::milliseconds;

constexpr RateLimits kLimits{.rate = 20, .burst = 20};
constexpr int kRequests = 12;                   // of one program
constexpr Duration kShort = milliseconds(200);  // between requests
constexpr Duration kLong = milliseconds(500);
constexpr Duration kUnknown{};
constexpr Duration kRetry = milliseconds(600);
constexpr int kMostTries = 3;

struct Event {
  Duration at{};
  int left = kRequests;
  int tries = 0;  // of the request, in vain
  bool operator<(const Event& other) const { return this->at > other.at; }
};

struct Outcome {
  int whole = 0;     // programs that were served whole
  int requests = 0;  // that were served
};

// A team begins `programs_per_s` programs for 30 s, whose requests are
// `between` apart, and is limited to kLimits.
Outcome Serve(double programs_per_s, bool gated, Duration between) {
  std::priority_queue<Event> events;
  for (int i = 0; i < int(30 * programs_per_s); ++i) {
    events.push({.at = Duration(int64_t(1e9 * i / programs_per_s))});
  }
  TokenBucket bucket{.level = kLimits.burst, .updated_at = {}};
  NewcomerGate gate;
  Outcome outcome;
  while (!events.empty()) {
    Event event = events.top();
    events.pop();
    Refill(bucket, kLimits.rate, kLimits.burst, event.at);
    const bool newcomer = event.left == kRequests;
    const bool admitted = (!gated || !newcomer ||
                           AdmitNewcomer(gate, bucket.level, kLimits,
                                         2 * kRequests * between, event.at)) &&
                          Take(bucket, 1, kLimits.rate).has_value();
    if (admitted) {
      NoteTokensUsed(gate, 1, event.at);
      event.left -= 1;
      event.tries = 0;
      event.at += between;
      ++outcome.requests;
    } else {
      event.tries += 1;
      event.at += kRetry;
    }
    if (event.left == 0) {
      ++outcome.whole;
    } else if (event.tries < kMostTries) {
      events.push(event);
    }
  }
  return outcome;
}

TEST_CASE("a team at three times its rate: programs under way come first") {
  const int first_come = Serve(5, false, kShort).whole;
  const int gated = Serve(5, true, kShort).whole;
  MESSAGE("served whole: " << gated << ", first come first served "
                           << first_come);
  CHECK(gated >= 1.3 * first_come);
  // At 20 tokens a second, 30 s and a burst carry 51 programs of 12.
  CHECK(gated >= 35);
}

// Programs of six seconds ask for their tokens slowly. Counting only the tokens
// of the next two seconds, too few programs began to use up the rate.
TEST_CASE("a team of long programs at three times its rate uses its rate up") {
  const Outcome first_come = Serve(5, false, kLong);
  const Outcome gated = Serve(5, true, kLong);
  MESSAGE("served whole: " << gated.whole << ", first come first served "
                           << first_come.whole << "; requests: "
                           << gated.requests << " and " << first_come.requests);
  CHECK(gated.whole >= 1.3 * first_come.whole);
  CHECK(gated.requests >= 0.85 * 30 * kLimits.rate);
}

// A program needs more tokens than a small team has in two seconds.
TEST_CASE("a small team with no program under way may begin one") {
  const RateLimits small{.rate = 3, .burst = 4};
  NewcomerGate gate;
  const Duration now = milliseconds(100);
  CHECK(AdmitNewcomer(gate, 1, small, kUnknown, now));
  CHECK_FALSE(AdmitNewcomer(gate, 1, small, kUnknown, now));
  NoteTokensUsed(gate, 12, now);
  CHECK(AdmitNewcomer(gate, 1, small, kUnknown, now));
}

TEST_CASE("a team within its rate is not held back") {
  CHECK(Serve(1, true, kShort).whole == Serve(1, false, kShort).whole);
  CHECK(Serve(1, true, kShort).whole == 30);
}

}  // namespace
}  // namespace celerykeel
