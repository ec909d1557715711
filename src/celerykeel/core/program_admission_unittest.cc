#include "celerykeel/core/program_admission.h"

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
constexpr int kMaxTries = 3;

struct Event {
  Duration at{};
  int left = kRequests;
  int tries = 0;  // refusals of the current request
  bool operator<(const Event& other) const { return this->at > other.at; }
};

struct Outcome {
  int completed = 0;  // programs whose requests were all served
  int requests = 0;   // served requests
};

// Simulates a team that is limited to kLimits and starts `programs_per_s`
// programs for 30 s, with requests `between` apart.
Outcome Serve(double programs_per_s, bool gated, Duration between) {
  std::priority_queue<Event> events;
  for (int i = 0; i < int(30 * programs_per_s); ++i) {
    events.push({.at = Duration(int64_t(1e9 * i / programs_per_s))});
  }
  TokenBucket bucket{.level = kLimits.burst, .updated_at = {}};
  ProgramAdmission gate;
  Outcome outcome;
  while (!events.empty()) {
    Event event = events.top();
    events.pop();
    Refill(bucket, kLimits.rate, kLimits.burst, event.at);
    const bool is_new = event.left == kRequests;
    const bool admitted =
        (!gated || !is_new ||
         AdmitNewProgram(gate, bucket.level, kLimits, 2 * kRequests * between,
                         event.at)) &&
        Take(bucket, 1, kLimits.rate).has_value();
    if (admitted) {
      RecordTokensUsed(gate, 1, event.at);
      event.left -= 1;
      event.tries = 0;
      event.at += between;
      ++outcome.requests;
    } else {
      event.tries += 1;
      event.at += kRetry;
    }
    if (event.left == 0) {
      ++outcome.completed;
    } else if (event.tries < kMaxTries) {
      events.push(event);
    }
  }
  return outcome;
}

TEST_CASE("running programs have priority in a team at three times its rate") {
  const int first_come = Serve(5, false, kShort).completed;
  const int gated = Serve(5, true, kShort).completed;
  MESSAGE("completed programs: " << gated << ", first come first served "
                                 << first_come);
  CHECK(gated >= 1.3 * first_come);
  // 30 s at 20 tokens/s plus the burst cover 51 programs of 12 requests.
  CHECK(gated >= 35);
}

// Guards against tokens left unused by long programs: six-second programs use
// their tokens slowly, so counting only the tokens of the next two seconds
// admits too few of them.
TEST_CASE(
    "a team of long programs at three times its rate uses its full rate") {
  const Outcome first_come = Serve(5, false, kLong);
  const Outcome gated = Serve(5, true, kLong);
  MESSAGE("completed programs: "
          << gated.completed << ", first come first served "
          << first_come.completed << "; requests: " << gated.requests << " and "
          << first_come.requests);
  CHECK(gated.completed >= 1.3 * first_come.completed);
  CHECK(gated.requests >= 0.85 * 30 * kLimits.rate);
}

// A program needs more tokens than a small team gets in two seconds.
TEST_CASE("a small team without a running program may start one") {
  const RateLimits small{.rate = 3, .burst = 4};
  ProgramAdmission gate;
  const Duration now = milliseconds(100);
  CHECK(AdmitNewProgram(gate, 1, small, kUnknown, now));
  CHECK_FALSE(AdmitNewProgram(gate, 1, small, kUnknown, now));
  RecordTokensUsed(gate, 12, now);
  CHECK(AdmitNewProgram(gate, 1, small, kUnknown, now));
}

TEST_CASE("a team within its rate is not held back") {
  CHECK(Serve(1, true, kShort).completed == Serve(1, false, kShort).completed);
  CHECK(Serve(1, true, kShort).completed == 30);
}

}  // namespace
}  // namespace celerykeel
