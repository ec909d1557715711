#include <doctest/doctest.h>

#include <algorithm>  // for std::min
#include <random>     // for std::mt19937_64
#include <vector>     // for std::vector

#include "celerykeel/core/rate_borrower.h"  // for ReserveToken

namespace celerykeel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const RateShare kOrchard{"orchard", 0};

enum class WithoutRule {
  kNone,
  kReturn,      // a call that does not run spends its token
  kReserve,     // a token is spent at once, and a return creates a new one
  kStillValid,  // a call is sent although its token's loan has expired
};

struct Load {
  double per_rate = 1;    // calls that run, as a fraction of the rate
  double not_run = 0;     // calls that do not run, as a fraction of the rate
  int max_wait_ms = 0;    // until it is known whether a call runs
  double lost = 0;        // fraction of the reports that are lost
  int freeze_chance = 0;  // per mille in each millisecond, for 1.5 s
};

struct Waiting {
  Duration at{};
  bool runs = false;
  ReservedToken token;
};

struct Instance {
  RateBorrower borrower;
  std::vector<Waiting> waiting;
  Duration frozen_until{};
};

/// Simulates a team's calls at five instances that borrow from one home.
struct World {
  RateLimits limits;
  Load load;
  WithoutRule without = WithoutRule::kNone;
  std::mt19937_64 random;
  RateHome home;
  std::vector<Instance> instances{5};
  TokenBucket central;  // of all instances, for comparison
  int refused_within_rate = 0;
  std::vector<Duration> sent;
};

bool Chance(World& world, double part) {
  return std::uniform_real_distribution<>(0, 1)(world.random) < part;
}

void Report(World& world, size_t index, Duration now) {
  for (const LoanNews& news : Review(world.instances[index].borrower, now)) {
    if (!Chance(world, world.load.lost)) {
      TakeLoanNews(world.home, news, index + 1, world.limits, now);
    }
  }
}

void Ask(World& world, size_t index, double needed, Duration now) {
  Report(world, index, now);
  RateBorrower& borrower = world.instances[index].borrower;
  const LoanWish wish = AskFor(borrower, kOrchard, needed, index + 1, now);
  const LendStart start{.first = true, .acting_from = {}, .keep = 0};
  TakeGrant(borrower, kOrchard, wish.id.request,
            Lend(world.home, wish, world.limits, start, now).tokens, now);
}

std::optional<ReservedToken> TakeToken(World& world,
                                       size_t index,
                                       Duration now) {
  RateBorrower& borrower = world.instances[index].borrower;
  auto token = ReserveToken(borrower, kOrchard, now);
  if (!token) {
    Ask(world, index, 1, now);
    token = ReserveToken(borrower, kOrchard, now);
  }
  if (token && world.without == WithoutRule::kReserve) {
    UseReserved(borrower, *token);
  }
  return token;
}

void GiveBackToken(World& world,
                   size_t index,
                   const Waiting& call,
                   Duration now) {
  RateBorrower& borrower = world.instances[index].borrower;
  switch (world.without) {
    case WithoutRule::kReturn:
      UseReserved(borrower, call.token);
      break;
    case WithoutRule::kReserve:
      for (const auto& [request, part] : call.token.parts) {
        LoanHeld& loan = borrower.shares[kOrchard].loans[request];
        loan.tokens += part;
        loan.granted = true;
        loan.asked_at = now;
      }
      break;
    default:
      ReturnReserved(borrower, call.token);
  }
}

void Settle(World& world, size_t index, Waiting& call, Duration now) {
  if (!call.runs) {
    GiveBackToken(world, index, call, now);
    return;
  }
  RateBorrower& borrower = world.instances[index].borrower;
  if (world.without != WithoutRule::kStillValid &&
      world.without != WithoutRule::kReserve &&
      !IsStillReserved(borrower, call.token, now)) {
    ReturnReserved(borrower, call.token);
    const auto again = TakeToken(world, index, now);
    if (!again) {
      return;
    }
    call.token = *again;
  }
  if (world.without != WithoutRule::kReserve) {
    UseReserved(borrower, call.token);
  }
  world.sent.push_back(now);
}

void Begin(World& world, bool runs, Duration now) {
  const size_t index = world.random() % world.instances.size();
  Instance& instance = world.instances[index];
  NoteDemand(instance.borrower, kOrchard, now);
  Refill(world.central, world.limits.rate, world.limits.burst, now);
  const bool fits =
      runs && Take(world.central, 1, world.limits.rate).has_value();
  const auto token = TakeToken(world, index, now);
  if (!token) {
    world.refused_within_rate += fits ? 1 : 0;
    return;
  }
  const int max_wait = world.load.max_wait_ms;
  const int wait =
      max_wait == 0 ? 0 : static_cast<int>(world.random() % uint64_t(max_wait));
  instance.waiting.push_back({now + milliseconds(wait), runs, *token});
  if (ShouldAskAhead(instance.borrower, kOrchard, now)) {
    Ask(world, index, 0, now);
  }
}

void Step(World& world, size_t index, int at, Duration now) {
  Instance& instance = world.instances[index];
  if (Chance(world, world.load.freeze_chance / 1000.0)) {
    instance.frozen_until = now + milliseconds(1500);
  }
  if (now < instance.frozen_until) {
    return;
  }
  std::vector<Waiting> waiting = std::move(instance.waiting);
  instance.waiting.clear();
  for (Waiting& call : waiting) {
    if (call.at <= now) {
      Settle(world, index, call, now);
    } else {
      instance.waiting.push_back(std::move(call));
    }
  }
  if (at % 100 == 0) {
    Report(world, index, now);
  }
}

void Play(World& world) {
  constexpr int kMillis = 15000;
  world.central = {.level = world.limits.burst, .updated_at = seconds(50)};
  for (int at = 0; at < kMillis; ++at) {
    const Duration now = seconds(50) + milliseconds(at);
    const double each_ms = world.limits.rate / 1000;
    if (Chance(world, each_ms * world.load.per_rate)) {
      Begin(world, true, now);
    }
    if (Chance(world, each_ms * world.load.not_run)) {
      Begin(world, false, now);
    }
    for (size_t index = 0; index < world.instances.size(); ++index) {
      Step(world, index, at, now);
    }
  }
}

// Returns true if at most burst + rate x window calls were sent in any window.
bool KeepsLimit(const World& world) {
  double lowest = 1e18;
  for (size_t i = 0; i < world.sent.size(); ++i) {
    const double at = std::chrono::duration<double>(world.sent[i]).count();
    const double ahead = static_cast<double>(i) - world.limits.rate * at;
    lowest = std::min(lowest, ahead);
    if (ahead + 1 - lowest > world.limits.burst + 1e-6) {
      return false;
    }
  }
  return true;
}

struct Outcome {
  int over = 0;  // runs that exceeded the limit
  int refused_within_rate = 0;
  int sent = 0;
};

Outcome PlayAll(const Load& load, WithoutRule without) {
  constexpr uint64_t kRuns = 60;
  Outcome outcome;
  for (uint64_t seed = 1; seed <= kRuns; ++seed) {
    World world;
    world.random.seed(seed);
    const double rate = 10 + static_cast<double>(world.random() % 60);
    world.limits = {.rate = rate, .burst = rate};
    world.load = load;
    world.without = without;
    Play(world);
    outcome.over += KeepsLimit(world) ? 0 : 1;
    outcome.refused_within_rate += world.refused_within_rate;
    outcome.sent += static_cast<int>(world.sent.size());
  }
  return outcome;
}

// Guards against a program that loops beyond its budget at twice its team's
// rate and uses up tokens for calls that never run.
TEST_CASE("calls that do not run leave their team its full rate") {
  const Load load{.per_rate = 0.7,
                  .not_run = 2,
                  .max_wait_ms = 20,
                  .lost = 0,
                  .freeze_chance = 0};
  const Outcome all = PlayAll(load, WithoutRule::kNone);
  const Outcome without = PlayAll(load, WithoutRule::kReturn);
  MESSAGE("refused within the rate: " << all.refused_within_rate << " of "
                                      << all.sent << ", without returns "
                                      << without.refused_within_rate);
  CHECK(all.over == 0);
  CHECK(all.refused_within_rate * 100 <= all.sent);
  CHECK(without.refused_within_rate * 10 > without.sent);
}

TEST_CASE(
    "no window exceeds the limit with late calls, lost reports and freezes") {
  const Load load{.per_rate = 2,
                  .not_run = 1,
                  .max_wait_ms = 1500,
                  .lost = 0.2,
                  .freeze_chance = 1};
  CHECK(PlayAll(load, WithoutRule::kNone).over == 0);
  CHECK(PlayAll(load, WithoutRule::kReserve).over > 0);
  CHECK(PlayAll(load, WithoutRule::kStillValid).over > 0);
}

}  // namespace
}  // namespace celerykeel
