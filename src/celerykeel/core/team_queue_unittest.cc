#include "celerykeel/core/team_queue.h"

#include <doctest/doctest.h>

#include <algorithm>  // for std::min
#include <queue>      // for std::priority_queue
#include <random>     // for std::mt19937_64

namespace celerykeel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RateLimits kLimits{.rate = 40, .burst = 40};
constexpr int kCalls = 12;                        // of one program
constexpr Duration kBetween = milliseconds(150);  // an answer and the next call
constexpr Duration kCallTime =
    milliseconds(4000);  // a caller's time for a call
constexpr Duration kProgramTime = seconds(6);
constexpr int kSeconds = 60;

struct Event {
  Duration at{};
  uint64_t id = 0;  // of the program or plain call
  int left = kCalls;
  bool is_retry = false;
  Duration call_began{};
  Duration ends{};  // of the program
  bool operator<(const Event& other) const { return this->at > other.at; }
};

struct Outcome {
  int whole = 0;       // programs whose calls were all served in time
  int cut = 0;         // programs refused after their first call
  int served = 0;      // calls
  int plain = 0;       // served calls of no program
  int short_told = 0;  // refusals that told 20 ms or less
  int refused = 0;
};

// The rules before the queue: a new program is told 900 ms, any other call the
// time until the next token accrues.
std::optional<Duration> DecideWithoutQueue(ProgramAdmission& gate,
                                           TokenBucket& bucket,
                                           const TeamCall& call,
                                           Duration now) {
  if (call.newcomer && !AdmitNewProgram(gate, bucket.level, kLimits,
                                        call.program_time_left, now)) {
    return milliseconds(900);
  }
  if (const auto taken = Take(bucket, 1, kLimits.rate); !taken) {
    return taken.error();
  }
  RecordTokensUsed(gate, 1, now);
  return std::nullopt;
}

std::optional<Duration> DecideWithQueue(TeamQueue& queue,
                                        TokenBucket& bucket,
                                        const TeamCall& call,
                                        Duration now) {
  const QueuedCall queued = Classify(queue, call, now);
  if (const auto told = RefuseUnlessAdmitted(queue, call, queued, bucket.level,
                                             kLimits, now)) {
    return told;
  }
  const double level = bucket.level - TokensHeld(queue, queued, now);
  if (level < 1) {
    WithdrawAdmission(queue, queued, now);
    return TellReturn(queue, call, queued, level, kLimits, now);
  }
  bucket.level -= 1;
  RecordTokensUsed(queue.admission, 1, now);
  RecordServed(queue, call, now);
  return std::nullopt;
}

// Simulates a team that sends `load` times its rate, a fifth of it as calls of
// no program, for a minute. Programs arrive in clumps of `clump`. Callers
// return once, if the time told is at most a third of the time left.
Outcome Serve(double load, bool queued, int clump) {
  std::mt19937_64 random(7);
  std::priority_queue<Event> events;
  uint64_t next_id = 1;
  const double programs_per_s = load * kLimits.rate * 0.8 / kCalls;
  double at = 0;
  while (at < kSeconds) {
    for (int i = 0; i < clump; ++i) {
      const Duration begin =
          Duration(int64_t(at * 1e9)) + milliseconds(random() % 50);
      events.push({.at = begin,
                   .id = next_id++,
                   .call_began = begin,
                   .ends = begin + kProgramTime});
    }
    at += clump / programs_per_s;
  }
  at = 0;
  while (at < kSeconds) {
    const Duration begin = Duration(int64_t(at * 1e9));
    events.push({.at = begin, .id = next_id++, .left = 0, .call_began = begin});
    at += 1 / (load * kLimits.rate * 0.2);
  }
  TokenBucket bucket{.level = kLimits.burst, .updated_at = {}};
  TeamQueue queue;
  Outcome outcome;
  while (!events.empty()) {
    Event event = events.top();
    events.pop();
    const Duration now = event.at;
    Refill(bucket, kLimits.rate, kLimits.burst, now);
    const bool plain = event.left == 0;
    const Duration time_left = event.call_began + kCallTime - now;
    const TeamCall call{
        .program = plain ? 0 : event.id,
        .caller = event.id * 100 + uint64_t(event.left),
        .newcomer = event.left == kCalls,
        .program_time_left = plain ? Duration{} : event.ends - now,
        .max_wait = time_left / 3};
    const auto told =
        queued ? DecideWithQueue(queue, bucket, call, now)
               : DecideWithoutQueue(queue.admission, bucket, call, now);
    if (!told) {
      outcome.served += 1;
      outcome.plain += plain ? 1 : 0;
      if (plain) {
        continue;
      }
      event.left -= 1;
      event.is_retry = false;
      event.at = now + kBetween;
      event.call_began = event.at;
      if (event.left > 0) {
        events.push(event);
      } else {
        outcome.whole += event.at <= event.ends ? 1 : 0;
      }
      continue;
    }
    outcome.refused += 1;
    outcome.short_told += *told <= milliseconds(20) ? 1 : 0;
    if (event.is_retry || *told > call.max_wait) {
      outcome.cut += !plain && event.left < kCalls ? 1 : 0;
      continue;
    }
    event.is_retry = true;
    event.at = now + *told + milliseconds(random() % 5);
    events.push(event);
  }
  return outcome;
}

// Guards against callers that spend their only retry for nothing: nine of ten
// answers 429 said 20 ms or less.
TEST_CASE("a team at 4.5 to 7.5 times its rate completes its programs") {
  for (const double load : {4.5, 6.0, 7.5}) {
    for (const int clump : {1, 20}) {
      const Outcome before = Serve(load, false, clump);
      const Outcome after = Serve(load, true, clump);
      MESSAGE("load " << load << " clump " << clump << ": whole "
                      << before.whole << " -> " << after.whole << ", cut "
                      << before.cut << " -> " << after.cut << ", served "
                      << before.served << " -> " << after.served << ", plain "
                      << before.plain << " -> " << after.plain
                      << ", told 20 ms or less " << before.short_told << " of "
                      << before.refused << " -> " << after.short_told << " of "
                      << after.refused);
      CHECK(after.whole >= 1.3 * before.whole);
      CHECK(after.served >= 0.85 * kSeconds * kLimits.rate);
      CHECK(after.short_told == 0);
    }
  }
}

TEST_CASE("a team inside its rate is served as without the queue") {
  const Outcome before = Serve(0.6, false, 1);
  const Outcome after = Serve(0.6, true, 1);
  CHECK(after.whole == before.whole);
  CHECK(after.refused == 0);
}

// Guards against calls inside the rate that are refused in favor of programs
// that may need tokens.
TEST_CASE("no call is held back while no call lacks a token") {
  TeamQueue queue;
  const Duration now = seconds(50);
  for (uint64_t id = 1; id <= 3; ++id) {
    const TeamCall first{.program = id, .caller = id, .newcomer = true};
    const QueuedCall queued = Classify(queue, first, now);
    CHECK_FALSE(RefuseUnlessAdmitted(queue, first, queued, 40, kLimits, now));
  }
  const TeamCall plain{.caller = 9};
  const QueuedCall queued = Classify(queue, plain, now);
  CHECK_FALSE(RefuseUnlessAdmitted(queue, plain, queued, 1, kLimits, now));
  CHECK(TokensHeld(queue, queued, now) == 0);
}

TEST_CASE("refused callers get times of their own, and a token at that time") {
  TeamQueue queue;
  const Duration now = seconds(50);
  Duration last{};
  for (uint64_t caller = 1; caller <= 8; ++caller) {
    const TeamCall call{.caller = caller, .max_wait = seconds(2)};
    const QueuedCall queued = Classify(queue, call, now);
    const Duration told = TellReturn(queue, call, queued, 0, kLimits, now);
    CHECK(told >= last + milliseconds(25));
    last = told;
  }
  const Duration first = now + milliseconds(25);
  const TeamCall other{.caller = 99, .max_wait = seconds(2)};
  CHECK(TokensHeld(queue, Classify(queue, other, first), first) >= 1);
  const TeamCall returns{.caller = 1, .max_wait = seconds(2)};
  CHECK(TokensHeld(queue, Classify(queue, returns, first), first) == 0);
  // A call of a program in progress goes before those of no program.
  const TeamCall turn{.program = 5, .caller = 98, .max_wait = seconds(2)};
  CHECK(TokensHeld(queue, Classify(queue, turn, first), first) == 0);
}

TEST_CASE("a wait beyond what the caller can wait is told but not booked") {
  TeamQueue queue;
  const TeamCall call{.caller = 1, .max_wait = milliseconds(500)};
  const Duration now = seconds(50);
  const RateLimits slow{.rate = 0.5, .burst = 1};
  CHECK(TellReturn(queue, call, {}, 0, slow, now) == seconds(2));
  CHECK(queue.retries.by_due.empty());
}

// Guards against a program's next call that another instance takes for a new
// program.
TEST_CASE("a program that the home knows is in progress at any instance") {
  TeamQueue queue;
  const Duration now = seconds(50);
  const TeamCall call{.program = 7, .caller = 1, .newcomer = true};
  CHECK(Classify(queue, call, now).call_class == CallClass::kNewProgram);
  RecordServed(queue, call, now);
  CHECK(Classify(queue, call, now).call_class == CallClass::kInProgress);
}

TEST_CASE("the memory for programs and callers is bounded") {
  TeamQueue queue;
  const Duration now = seconds(50);
  for (uint64_t id = 1; id <= 4 * kMaxRecentPrograms; ++id) {
    const TeamCall call{
        .program = id, .caller = id, .max_wait = std::chrono::hours(1)};
    TellReturn(queue, call, {}, 0, kLimits, now);
    RecordServed(queue, call, now);
  }
  CHECK(queue.retries.by_due.size() == kMaxRetryBookings);
  CHECK(queue.in_progress.current.size() + queue.in_progress.previous.size() <=
        2 * kMaxRecentPrograms);
  DropMissedReturns(queue.retries, now + std::chrono::hours(2));
  CHECK(queue.retries.by_due.empty());
  CHECK(CountPending(queue.retries, CallClass::kNewProgram) == 0);
}

}  // namespace
}  // namespace celerykeel
