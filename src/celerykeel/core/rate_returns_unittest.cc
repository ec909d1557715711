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
  kReturn,         // a call that does not run spends its token
  kReserve,        // a token is spent at once, and a return creates a new one
  kValidityCheck,  // a call is sent although its token's loan has expired
};

struct Load {
  double run_fraction = 1;  // calls that run, as a fraction of the rate
  double not_run = 0;       // calls that do not run, as a fraction of the rate
  int max_wait_ms = 0;      // time until it is known whether a call runs
  double lost = 0;          // fraction of the reports that are lost
  // Chance per mille, in each millisecond, that an instance freezes for 1.5 s.
  int freeze_chance = 0;
};

struct WaitingCall {
  Duration at{};
  bool runs = false;
  ReservedToken token;
};

struct Instance {
  RateBorrower borrower;
  std::vector<WaitingCall> waiting;
  Duration frozen_until{};
};

/// Simulates a team's calls at five instances that borrow from one home.
struct Simulation {
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

bool Chance(Simulation& simulation, double part) {
  return std::uniform_real_distribution<>(0, 1)(simulation.random) < part;
}

void Report(Simulation& simulation, size_t index, Duration now) {
  for (const LoanReport& report :
       ReviewLoans(simulation.instances[index].borrower, now)) {
    if (!Chance(simulation, simulation.load.lost)) {
      ApplyLoanReport(simulation.home, report, index + 1, simulation.limits,
                      now);
    }
  }
}

void Ask(Simulation& simulation, size_t index, double needed, Duration now) {
  Report(simulation, index, now);
  RateBorrower& borrower = simulation.instances[index].borrower;
  const RequestedLoan requested =
      RequestLoan(borrower, kOrchard, needed, index + 1, now);
  const LendingStart start{.first = true, .acting_from = {}, .keep = 0};
  ApplyGrant(
      borrower, kOrchard, requested.id.request,
      Lend(simulation.home, requested, simulation.limits, start, now).tokens,
      now);
}

std::optional<ReservedToken> TakeToken(Simulation& simulation,
                                       size_t index,
                                       Duration now) {
  RateBorrower& borrower = simulation.instances[index].borrower;
  auto token = ReserveToken(borrower, kOrchard, now);
  if (!token) {
    Ask(simulation, index, 1, now);
    token = ReserveToken(borrower, kOrchard, now);
  }
  if (token && simulation.without == WithoutRule::kReserve) {
    UseReserved(borrower, *token);
  }
  return token;
}

void ReturnToken(Simulation& simulation,
                 size_t index,
                 const WaitingCall& call,
                 Duration now) {
  RateBorrower& borrower = simulation.instances[index].borrower;
  switch (simulation.without) {
    case WithoutRule::kReturn:
      UseReserved(borrower, call.token);
      break;
    case WithoutRule::kReserve:
      for (const auto& [request, part] : call.token.parts) {
        HeldLoan& loan = borrower.shares[kOrchard].loans[request];
        loan.tokens += part;
        loan.granted = true;
        loan.asked_at = now;
      }
      break;
    default:
      ReturnReserved(borrower, call.token);
  }
}

void Settle(Simulation& simulation,
            size_t index,
            WaitingCall& call,
            Duration now) {
  if (!call.runs) {
    ReturnToken(simulation, index, call, now);
    return;
  }
  RateBorrower& borrower = simulation.instances[index].borrower;
  if (simulation.without != WithoutRule::kValidityCheck &&
      simulation.without != WithoutRule::kReserve &&
      !IsStillReserved(borrower, call.token, now)) {
    ReturnReserved(borrower, call.token);
    const auto again = TakeToken(simulation, index, now);
    if (!again) {
      return;
    }
    call.token = *again;
  }
  if (simulation.without != WithoutRule::kReserve) {
    UseReserved(borrower, call.token);
  }
  simulation.sent.push_back(now);
}

void Begin(Simulation& simulation, bool runs, Duration now) {
  const size_t index = simulation.random() % simulation.instances.size();
  Instance& instance = simulation.instances[index];
  RecordDemand(instance.borrower, kOrchard, now);
  Refill(simulation.central, simulation.limits.rate, simulation.limits.burst,
         now);
  const bool fits =
      runs && Take(simulation.central, 1, simulation.limits.rate).has_value();
  const auto token = TakeToken(simulation, index, now);
  if (!token) {
    simulation.refused_within_rate += fits ? 1 : 0;
    return;
  }
  const int max_wait = simulation.load.max_wait_ms;
  const int wait =
      max_wait == 0
          ? 0
          : static_cast<int>(simulation.random() % uint64_t(max_wait));
  instance.waiting.push_back({now + milliseconds(wait), runs, *token});
  if (ShouldRequestAhead(instance.borrower, kOrchard, now)) {
    Ask(simulation, index, 0, now);
  }
}

void Step(Simulation& simulation, size_t index, int at, Duration now) {
  Instance& instance = simulation.instances[index];
  if (Chance(simulation, simulation.load.freeze_chance / 1000.0)) {
    instance.frozen_until = now + milliseconds(1500);
  }
  if (now < instance.frozen_until) {
    return;
  }
  std::vector<WaitingCall> waiting = std::move(instance.waiting);
  instance.waiting.clear();
  for (WaitingCall& call : waiting) {
    if (call.at <= now) {
      Settle(simulation, index, call, now);
    } else {
      instance.waiting.push_back(std::move(call));
    }
  }
  if (at % 100 == 0) {
    Report(simulation, index, now);
  }
}

void Play(Simulation& simulation) {
  constexpr int kMillis = 15000;
  simulation.central = {.level = simulation.limits.burst,
                        .updated_at = seconds(50)};
  for (int at = 0; at < kMillis; ++at) {
    const Duration now = seconds(50) + milliseconds(at);
    const double each_ms = simulation.limits.rate / 1000;
    if (Chance(simulation, each_ms * simulation.load.run_fraction)) {
      Begin(simulation, true, now);
    }
    if (Chance(simulation, each_ms * simulation.load.not_run)) {
      Begin(simulation, false, now);
    }
    for (size_t index = 0; index < simulation.instances.size(); ++index) {
      Step(simulation, index, at, now);
    }
  }
}

// Returns true if at most burst + rate x window calls were sent in any window.
bool IsWithinLimit(const Simulation& simulation) {
  double lowest = 1e18;
  for (size_t i = 0; i < simulation.sent.size(); ++i) {
    const double at = std::chrono::duration<double>(simulation.sent[i]).count();
    const double ahead = static_cast<double>(i) - simulation.limits.rate * at;
    lowest = std::min(lowest, ahead);
    if (ahead + 1 - lowest > simulation.limits.burst + 1e-6) {
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

Outcome SimulateSeeds(const Load& load, WithoutRule without) {
  constexpr uint64_t kRuns = 60;
  Outcome outcome;
  for (uint64_t seed = 1; seed <= kRuns; ++seed) {
    Simulation simulation;
    simulation.random.seed(seed);
    const double rate = 10 + static_cast<double>(simulation.random() % 60);
    simulation.limits = {.rate = rate, .burst = rate};
    simulation.load = load;
    simulation.without = without;
    Play(simulation);
    outcome.over += IsWithinLimit(simulation) ? 0 : 1;
    outcome.refused_within_rate += simulation.refused_within_rate;
    outcome.sent += static_cast<int>(simulation.sent.size());
  }
  return outcome;
}

// Guards against a program that loops beyond its budget at twice its team's
// rate and uses up tokens for calls that never run.
TEST_CASE("calls that do not run leave their team its full rate") {
  const Load load{.run_fraction = 0.7,
                  .not_run = 2,
                  .max_wait_ms = 20,
                  .lost = 0,
                  .freeze_chance = 0};
  const Outcome all = SimulateSeeds(load, WithoutRule::kNone);
  const Outcome without = SimulateSeeds(load, WithoutRule::kReturn);
  MESSAGE("refused within the rate: " << all.refused_within_rate << " of "
                                      << all.sent << ", without returns "
                                      << without.refused_within_rate);
  CHECK(all.over == 0);
  CHECK(all.refused_within_rate * 100 <= all.sent);
  CHECK(without.refused_within_rate * 10 > without.sent);
}

TEST_CASE(
    "no window exceeds the limit with late calls, lost reports and freezes") {
  const Load load{.run_fraction = 2,
                  .not_run = 1,
                  .max_wait_ms = 1500,
                  .lost = 0.2,
                  .freeze_chance = 1};
  CHECK(SimulateSeeds(load, WithoutRule::kNone).over == 0);
  CHECK(SimulateSeeds(load, WithoutRule::kReserve).over > 0);
  CHECK(SimulateSeeds(load, WithoutRule::kValidityCheck).over > 0);
}

}  // namespace
}  // namespace celerykeel
