#include <doctest/doctest.h>
#include <rapidcheck.h>                    // for rc::gen
#include <rapidcheck/detail/TestParams.h>  // for rc::detail::TestParams

#include <iostream>  // for std::cerr

#include "celerykeel/core/rate_simulation_unittest.h"  // for RateSimulation

namespace celerykeel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::RateSimulation;
using testing::SimulationOptions;
using testing::WithoutRule;

constexpr uint64_t kSeed = 20261204;
constexpr int kRuns = 150;
constexpr int kRunsUntilFailure = 600;

enum class EventKind {
  kJoin,
  kLeave,
  kKill,
  kEvict,
  kFreeze,
  kWake,
  kCut,
  kHeal,
  kLoad
};

struct Event {
  EventKind kind = EventKind::kLoad;
  int which = 0;     // index into the live members
  int millis = 0;    // time to advance after the event
  int requests = 0;  // spread over that time
};

Event MakeEvent() {
  Event event;
  event.kind = *rc::gen::element(
      EventKind::kJoin, EventKind::kLeave, EventKind::kKill, EventKind::kEvict,
      EventKind::kFreeze, EventKind::kWake, EventKind::kCut, EventKind::kHeal,
      EventKind::kLoad, EventKind::kLoad, EventKind::kLoad, EventKind::kLoad,
      EventKind::kLoad, EventKind::kLoad);
  event.which = *rc::gen::inRange(0, 100);
  event.millis = *rc::gen::inRange(10, 2500);
  event.requests = *rc::gen::inRange(0, 60);
  return event;
}

void Apply(RateSimulation& simulation, const Event& event) {
  const auto alive = simulation.Alive();
  const Incarnation node = alive[event.which % alive.size()];
  const bool last = alive.size() <= 2;
  switch (event.kind) {
    case EventKind::kJoin:
      if (alive.size() < 6) {
        simulation.Join();
      }
      break;
    case EventKind::kLeave:
      if (!last) {
        simulation.Leave(node);
      }
      break;
    case EventKind::kKill:
      if (!last) {
        simulation.Kill(node);
        simulation.Advance(milliseconds(event.which * 20));
        simulation.Evict(node);
      }
      break;
    case EventKind::kEvict:
      if (!last) {
        simulation.SetCut(node, true);
        simulation.Advance(milliseconds(event.which * 20));
        simulation.Evict(node);
      }
      break;
    case EventKind::kFreeze:
    case EventKind::kWake:
      simulation.SetFrozen(node, event.kind == EventKind::kFreeze);
      break;
    case EventKind::kCut:
    case EventKind::kHeal:
      simulation.SetCut(node, event.kind == EventKind::kCut);
      break;
    case EventKind::kLoad:
      break;
  }
  const auto members = simulation.Alive();
  for (int i = 0; i < event.requests; ++i) {
    simulation.Request(members[(event.which + i / 7) % members.size()]);
    simulation.Advance(milliseconds(event.millis / (event.requests + 1)));
  }
  simulation.Advance(milliseconds(event.millis / (event.requests + 1)));
}

struct Verdict {
  bool holds = false;
  size_t admitted = 0;
  size_t refused = 0;
};

Verdict Check(WithoutRule without, int runs) {
  Verdict verdict;
  rc::detail::TestMetadata metadata;
  metadata.id = "rate";
  rc::detail::TestParams params;
  params.seed = kSeed;
  params.maxSuccess = runs;
  params.disableShrinking = true;
  const auto result = rc::detail::checkTestable(
      [&] {
        SimulationOptions options;
        options.without = without;
        options.team.rate = *rc::gen::inRange(1, 40);
        options.team.burst = *rc::gen::inRange(1, 40);
        options.seed = *rc::gen::inRange<uint64_t>(1, 1'000'000);
        options.lost = *rc::gen::element(0.0, 0.05, 0.3);
        options.duplicated = *rc::gen::element(0.0, 0.3);
        options.late = *rc::gen::element(0.0, 0.05, 0.5);
        RateSimulation simulation(options);
        for (int i = 0; i < 3; ++i) {
          simulation.Join();
        }
        simulation.Advance(seconds(6));
        const int events = *rc::gen::inRange(5, 20);
        for (int i = 0; i < events; ++i) {
          Apply(simulation, MakeEvent());
        }
        verdict.admitted += simulation.admitted.size();
        verdict.refused += simulation.refused.size();
        RC_ASSERT(simulation.WithinRate());
      },
      metadata, params);
  verdict.holds = result.template is<rc::detail::SuccessResult>();
  if (!verdict.holds && without == WithoutRule::kNothing) {
    rc::detail::printResultMessage(result, std::cerr);
  }
  return verdict;
}

TEST_CASE("the fleet admits at most burst + rate x window") {
  const Verdict verdict = Check(WithoutRule::kNothing, kRuns);
  CHECK(verdict.holds);
  CHECK(verdict.admitted > 0);
  CHECK(verdict.refused > 0);
  MESSAGE("admitted " << verdict.admitted << ", refused " << verdict.refused);
}

TEST_CASE("the limit is exceeded if any one loan rule is left out") {
  CHECK_FALSE(Check(WithoutRule::kLoanExpiry, kRunsUntilFailure).holds);
  CHECK_FALSE(Check(WithoutRule::kHomeWait, kRunsUntilFailure).holds);
  CHECK_FALSE(Check(WithoutRule::kFreshness, kRunsUntilFailure).holds);
  CHECK_FALSE(Check(WithoutRule::kCountingOfLoans, kRunsUntilFailure).holds);
}

TEST_CASE("a team within its rate is not refused if one home fails") {
  for (Incarnation failed = 1; failed <= 3; ++failed) {
    RateSimulation simulation(
        {.without = WithoutRule::kNothing, .team = {100, 100}});
    for (int i = 0; i < 3; ++i) {
      simulation.Join();
    }
    simulation.Advance(seconds(10));
    simulation.Kill(failed);
    for (const Incarnation alive : simulation.Alive()) {
      simulation.Request(alive);
      simulation.Advance(seconds(1));
    }
    CHECK(simulation.admitted.size() == 2);
    CHECK(simulation.refused.empty());
  }
}

// Refusals of a team on 13 gates, one of which has a third of the requests.
// A single central bucket on the same requests serves as reference.
struct Refusals {
  size_t requests = 0;
  size_t refused = 0;
  size_t excess_refusals =
      0;  // refusals in excess of those of the central bucket
  uint64_t messages = 0;
};

Refusals Measure(RateLimits team, double load, Duration delay) {
  SimulationOptions options;
  options.team = team;
  options.delay = delay;
  RateSimulation simulation(options);
  for (int i = 0; i < 13; ++i) {
    simulation.Join();
  }
  simulation.Advance(seconds(30));
  std::mt19937_64 random(kSeed);
  std::exponential_distribution<> gap(team.rate * load);
  std::discrete_distribution<size_t> gate(
      {30, 20, 10, 8, 6, 5, 5, 4, 4, 3, 2, 2, 1});
  const auto members = simulation.Alive();
  TokenBucket central{.level = team.burst, .updated_at = simulation.now};
  Refusals result;
  size_t would_refuse = 0;
  Duration next = simulation.now;
  const Duration end = simulation.now + seconds(120);
  while (next < end) {
    next += Duration(static_cast<int64_t>(gap(random) * 1e9));
    if (next > simulation.now) {
      simulation.Advance(next - simulation.now);
    }
    ++result.requests;
    Refill(central, team.rate, team.burst, simulation.now);
    would_refuse += Take(central, 1, team.rate) ? 0 : 1;
    simulation.Request(members[gate(random)]);
  }
  simulation.Advance(seconds(2));
  result.refused = simulation.refused.size();
  result.excess_refusals =
      result.refused > would_refuse ? result.refused - would_refuse : 0;
  result.messages = simulation.messages;
  CHECK(simulation.WithinRate());
  return result;
}

TEST_CASE(
    "few requests within the rate are refused if callers are spread unevenly") {
  for (const auto& [team, load] : {std::pair{RateLimits{10, 20}, 0.5},
                                   {RateLimits{10, 20}, 0.9},
                                   {RateLimits{50, 50}, 0.5},
                                   {RateLimits{50, 50}, 0.9},
                                   {RateLimits{50, 100}, 5.0},
                                   {RateLimits{2, 4}, 0.5}}) {
    const Refusals got = Measure(team, load, milliseconds(2));
    MESSAGE("rate " << team.rate << "/s burst " << team.burst << " load "
                    << load << ": " << got.requests << " requests, "
                    << got.refused << " refused, " << got.excess_refusals
                    << " more than one central bucket would, " << got.messages
                    << " messages");
    CHECK(got.excess_refusals * 100 <= got.requests);
  }
}

}  // namespace
}  // namespace celerykeel
