#include <doctest/doctest.h>

#include <cmath>   // for std::pow
#include <random>  // for std::mt19937_64
#include <vector>  // for std::vector

#include "celerykeel/core/rate_borrower.h"  // for ReserveToken

namespace celerykeel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const RateShare kOrchard{"orchard", 0};
constexpr size_t kInstances = 83;
constexpr size_t kMaxRecalled = 8;
constexpr Duration kRecallInterval = milliseconds(50);
constexpr int kMillis = 30000;
constexpr int kCutAt = 10000;
constexpr int kMoveEvery = 3000;

struct Load {
  double fraction = 0.7;  // of the rate, on average
  int clump = 1;          // calls that arrive together at one instance
  double first_rate = 123;
  double later_rate = 123;  // from kCutAt on
};

// Simulates a team's calls at kInstances instances. Most arrive at a few of
// them, and at others every three seconds.
struct Simulation {
  Load load;
  bool recalls = true;
  std::mt19937_64 random{5};
  RateLimits limits{};
  RateHome home{};
  std::vector<RateBorrower> borrowers{kInstances};
  TokenBucket central{};  // of all instances, for comparison
  int refused_within_rate = 0;
  int calls = 0;
  std::vector<Duration> sent{};
  uint64_t recalled = 0;
  Duration recalled_at{};
  Duration refused_at{};  // a home lends nothing ahead for a second
};

void Apply(Simulation& simulation,
           size_t index,
           const std::vector<LoanReport>& reports,
           Duration now) {
  for (const LoanReport& report : reports) {
    ApplyLoanReport(simulation.home, report, index + 1, simulation.limits, now);
  }
}

double Lend(Simulation& simulation,
            const RequestedLoan& requested,
            Duration now) {
  const LendingStart start{.first = true, .acting_from = {}, .keep = 0};
  return Lend(simulation.home, requested, simulation.limits, start, now).tokens;
}

void Ask(Simulation& simulation, size_t index, double needed, Duration now) {
  RateBorrower& borrower = simulation.borrowers[index];
  Apply(simulation, index, ReviewShare(borrower, kOrchard, now), now);
  RequestedLoan requested =
      RequestLoan(borrower, kOrchard, needed, index + 1, now);
  if (simulation.recalls && now < simulation.refused_at + seconds(1)) {
    requested.wanted = needed;
  }
  double tokens = Lend(simulation, requested, now);
  if (tokens <= 0 && needed > 0 && simulation.recalls &&
      now >= simulation.recalled_at + kRecallInterval) {
    simulation.recalled_at = now;
    const double level =
        LevelAtHome(simulation.home, kOrchard, simulation.limits, now)
            .value_or(0);
    for (const Incarnation holder : BorrowersWithSpareTokens(
             simulation.home, requested, level, kMaxRecalled)) {
      ++simulation.recalled;
      Apply(simulation, holder - 1,
            ReturnUnreserved(simulation.borrowers[holder - 1], kOrchard, now),
            now);
    }
    tokens = Lend(simulation, requested, now);
  }
  ApplyGrant(borrower, kOrchard, requested.id.request, tokens, now);
}

void Call(Simulation& simulation, size_t index, Duration now) {
  RateBorrower& borrower = simulation.borrowers[index];
  ++simulation.calls;
  RecordDemand(borrower, kOrchard, now);
  Refill(simulation.central, simulation.limits.rate, simulation.limits.burst,
         now);
  const bool fits =
      Take(simulation.central, 1, simulation.limits.rate).has_value();
  if (FreeTokens(borrower, kOrchard, now) < 1) {
    Ask(simulation, index, 1, now);
  }
  if (UseToken(borrower, kOrchard, now)) {
    simulation.sent.push_back(now);
  } else {
    simulation.refused_at = now;
    simulation.refused_within_rate += fits ? 1 : 0;
  }
  if (ShouldRequestAhead(borrower, kOrchard, now)) {
    Ask(simulation, index, 0, now);
  }
}

void SetRate(Simulation& simulation, double rate, Duration now) {
  simulation.limits = {.rate = rate, .burst = rate};
  if (simulation.recalls) {
    for (size_t index = 0; index < kInstances; ++index) {
      Apply(simulation, index,
            ReturnUnreserved(simulation.borrowers[index], kOrchard, now), now);
    }
  }
}

void Play(Simulation& simulation) {
  const Duration start = seconds(50);
  SetRate(simulation, simulation.load.first_rate, start);
  simulation.central = {.level = simulation.limits.burst, .updated_at = start};
  std::uniform_real_distribution<> uniform(0, 1);
  size_t shift = 0;
  for (int at = 0; at < kMillis; ++at) {
    const Duration now = start + milliseconds(at);
    if (at == kCutAt) {
      SetRate(simulation, simulation.load.later_rate, now);
    }
    shift = at % kMoveEvery == 0 ? simulation.random() % kInstances : shift;
    const double expected = simulation.limits.rate * simulation.load.fraction /
                            1000 / simulation.load.clump;
    if (uniform(simulation.random) < expected) {
      const auto rank = static_cast<size_t>(
          kInstances * std::pow(uniform(simulation.random), 2.5));
      for (int i = 0; i < simulation.load.clump; ++i) {
        Call(simulation, (rank + shift) % kInstances, now);
      }
    }
    if (at % 300 == 0) {
      for (size_t index = 0; index < kInstances; ++index) {
        Apply(simulation, index, ReviewLoans(simulation.borrowers[index], now),
              now);
      }
    }
  }
}

// The bound of the deployments: in any 5 s from the cut on, all instances let
// through at most (rate x 5 + burst) x 1.1 + 20 calls.
bool IsWithinBound(const Simulation& simulation) {
  const double bound =
      (simulation.limits.rate * 5 + simulation.limits.burst) * 1.1 + 20;
  size_t first = 0;
  for (size_t i = 0; i < simulation.sent.size(); ++i) {
    if (simulation.sent[i] < seconds(50) + milliseconds(kCutAt)) {
      first = i;
      continue;
    }
    while (simulation.sent[i] - simulation.sent[first] > seconds(5)) {
      ++first;
    }
    if (static_cast<double>(i - first + 1) > bound) {
      return false;
    }
  }
  return true;
}

// Guards against calls inside the rate that are refused while idle instances
// hold the tokens: 110 answers 429 in seconds in which the team used under 0.8
// of its rate, and 393 of a team whose rate was cut from 392 to 123.
TEST_CASE("idle instances do not keep the tokens of a team inside its rate") {
  for (const Load& load :
       {Load{.fraction = 0.75}, Load{.fraction = 0.95},
        Load{.fraction = 0.75, .clump = 12},
        Load{.fraction = 0.8, .first_rate = 12, .later_rate = 12},
        Load{.fraction = 0.9, .clump = 3, .first_rate = 392}}) {
    Simulation before{.load = load, .recalls = false};
    Play(before);
    Simulation after{.load = load};
    Play(after);
    MESSAGE("rate " << load.first_rate << " then " << load.later_rate
                    << ", load " << load.fraction << " in clumps of "
                    << load.clump << ": refused inside the rate "
                    << before.refused_within_rate << " -> "
                    << after.refused_within_rate << " of " << after.calls
                    << ", recalls " << after.recalled);
    CHECK(IsWithinBound(after));
    CHECK(after.refused_within_rate * 200 <= after.calls);
    CHECK(after.refused_within_rate <= before.refused_within_rate);
  }
}

TEST_CASE(
    "a team at six times its rate stays within the bound and recalls "
    "little") {
  Simulation simulation{.load = {.fraction = 6}};
  Play(simulation);
  MESSAGE("recalls " << simulation.recalled << " for " << simulation.calls
                     << " calls");
  CHECK(IsWithinBound(simulation));
  CHECK(simulation.recalled * 20 <= uint64_t(simulation.calls));
}

}  // namespace
}  // namespace celerykeel
